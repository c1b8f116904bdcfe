package yuccahinge

// BodyDigest is the hexadecimal hash of a charge's body without its insignificant white space.
type BodyDigest string
