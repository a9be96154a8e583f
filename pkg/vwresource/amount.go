// Package vwresource holds the amounts of processor time, memory and accelerators that tasks need and
// workers have.
package vwresource

import (
	"fmt"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

//go:generate go tool msgp -tests=false -io=false -o amount_gen.go -file amount.go

//msgp:replace MilliCPU with:int64
//msgp:replace vwunit.Bytes with:int64
//msgp:tuple Amount

// MilliCPU counts thousandths of a processor core.
type MilliCPU int64

// Amount is an amount of each resource.
type Amount struct {
	CPU    MilliCPU
	Memory vwunit.Bytes
	GPUs   int
}

// Plus returns the sum of two amounts.
func (z Amount) Plus(other Amount) Amount {
	return Amount{CPU: z.CPU + other.CPU, Memory: z.Memory + other.Memory, GPUs: z.GPUs + other.GPUs}
}

// Minus returns the difference, which may be negative.
func (z Amount) Minus(other Amount) Amount {
	return Amount{CPU: z.CPU - other.CPU, Memory: z.Memory - other.Memory, GPUs: z.GPUs - other.GPUs}
}

// Min returns the minimum of each resource.
func (z Amount) Min(other Amount) Amount {
	return Amount{CPU: min(z.CPU, other.CPU), Memory: min(z.Memory, other.Memory), GPUs: min(z.GPUs, other.GPUs)}
}

// Times returns so many of the amount.
func (z Amount) Times(count int) Amount {
	return Amount{CPU: z.CPU * MilliCPU(count), Memory: z.Memory * vwunit.Bytes(count), GPUs: z.GPUs * count}
}

// Fits reports whether room holds the amount.
func (z Amount) Fits(room Amount) bool {
	return z.CPU <= room.CPU && z.Memory <= room.Memory && z.GPUs <= room.GPUs
}

// CountIn returns how many of the amount fit into room, at most limit. An amount of nothing always fits.
func (z Amount) CountIn(room Amount, limit int) int {
	count := limit
	count = min(count, countOf(int64(z.CPU), int64(room.CPU), limit))
	count = min(count, countOf(int64(z.Memory), int64(room.Memory), limit))
	return min(count, countOf(int64(z.GPUs), int64(room.GPUs), limit))
}

func countOf(need, room int64, limit int) int {
	switch {
	case room < 0 || need > 0 && room < need:
		return 0
	case need <= 0:
		return limit
	}
	return int(min(room/need, int64(limit)))
}

// Valid reports whether no part of the amount is negative.
func (z Amount) Valid() bool {
	return z.CPU >= 0 && z.Memory >= 0 && z.GPUs >= 0
}

// String returns the amount for logs.
func (z Amount) String() string {
	text := fmt.Sprintf("%dm/%v", int64(z.CPU), z.Memory)
	if z.GPUs != 0 {
		text += fmt.Sprintf("/%dgpu", z.GPUs)
	}
	return text
}
