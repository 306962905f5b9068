//! Tests of the membership.
