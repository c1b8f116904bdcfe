package yuccahinge

// BodyDigest is the hexadecimal hash of a charge's JSON body without insignificant white space.
type BodyDigest string
