package vwkeys

import (
	"errors"
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// ErrExpired tells that a certificate or its authority is outside its validity.
type ErrExpired struct {
	Process   vwid.Process
	NotBefore time.Time
	NotAfter  time.Time
	// Authority tells that the authority's own certificate is the one outside its validity.
	Authority bool
}

// Error implements error.
func (e *ErrExpired) Error() string {
	subject := fmt.Sprintf("certificate of process %q", e.Process)
	if e.Authority {
		subject = fmt.Sprintf("authority that issued the certificate of process %q", e.Process)
	}
	return fmt.Sprintf("%s is valid only from %s to %s; renew it with the command keys and check the clock",
		subject, e.NotBefore.UTC().Format(time.RFC3339), e.NotAfter.UTC().Format(time.RFC3339))
}

// IsExpired reports whether err is caused by a certificate outside its validity.
func IsExpired(err error) bool {
	var target *ErrExpired
	return errors.As(err, &target)
}

// ErrWrongAuthority tells that a certificate was not issued by the cluster's authority.
type ErrWrongAuthority struct {
	Process vwid.Process
	// Cluster is the cluster that the rejected certificate names.
	Cluster vwid.Cluster
	Cause   error
}

// Error implements error.
func (e *ErrWrongAuthority) Error() string {
	return fmt.Sprintf("certificate of process %q in cluster %q was not issued by this cluster's authority: %v",
		e.Process, e.Cluster, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrWrongAuthority) Unwrap() error {
	return e.Cause
}

// IsWrongAuthority reports whether err is caused by a certificate of another authority.
func IsWrongAuthority(err error) bool {
	var target *ErrWrongAuthority
	return errors.As(err, &target)
}

// ErrWrongCluster tells that a valid certificate names another cluster.
type ErrWrongCluster struct {
	Process vwid.Process
	Cluster vwid.Cluster
	Want    vwid.Cluster
}

// Error implements error.
func (e *ErrWrongCluster) Error() string {
	return fmt.Sprintf("certificate of process %q is for cluster %q; want cluster %q", e.Process, e.Cluster, e.Want)
}

// IsWrongCluster reports whether err is caused by a certificate of another cluster.
func IsWrongCluster(err error) bool {
	var target *ErrWrongCluster
	return errors.As(err, &target)
}
