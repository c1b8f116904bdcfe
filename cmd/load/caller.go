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
	client *http.Client
}

// errorBody is the body of an error response; Error is nil in any other response.
type errorBody struct {
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
	resp, err := c.client.Do(req)
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

// decode returns the answer of a search, or a *yuccahinge.Error if the body is an error response.
func decode(body []byte) (*yuccahinge.SearchAnswer, error) {
	var failure errorBody
	if err := json.Unmarshal(body, &failure); err != nil {
		return nil, err
	}
	if failure.Error != nil {
		return nil, &yuccahinge.Error{Code: failure.Error.Code, Message: failure.Error.Message, Outcome: failure.Outcome}
	}
	var answer yuccahinge.SearchAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
