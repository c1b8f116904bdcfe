package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/yuccahinge/yuccahinge"
)

// caller sends searches over HTTP.
type caller struct {
	http *http.Client
}

// refusal is the body of an answer that is an error.
type refusal struct {
	Error *struct {
		Code    yuccahinge.Code `json:"code"`
		Message string          `json:"message"`
	} `json:"error"`
	Outcome yuccahinge.Outcome `json:"outcome"`
}

func (c *caller) search(ctx context.Context, host string, r *yuccahinge.SearchRequest) (*yuccahinge.SearchAnswer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/search/"+string(r.Service), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Request-Id", string(r.RequestID))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	return decode(buf.Bytes())
}

func decode(body []byte) (*yuccahinge.SearchAnswer, error) {
	var no refusal
	if err := json.Unmarshal(body, &no); err != nil {
		return nil, err
	}
	if no.Error != nil {
		return nil, &yuccahinge.Error{Code: no.Error.Code, Message: no.Error.Message, Outcome: no.Outcome}
	}
	var a yuccahinge.SearchAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	return &a, nil
}
