#ifndef SOURCE_BASE_HEAP_BYTES_H_
#define SOURCE_BASE_HEAP_BYTES_H_

#include <cstdint>

namespace cowslip {

/// The memory that this process's heap has taken from the system, in bytes.
uint64_t HeapBytes();

/// The part of it that is allocated, in bytes.
uint64_t AllocatedHeapBytes();

/// Makes the heap return large blocks to the system as soon as they are freed.
/// By default, it keeps blocks of a size that was freed before, and they get
/// scattered. Call it first.
void ReturnLargeBlocks();

/// Returns the heap's free pages to the system.
void TrimHeap();

}  // namespace cowslip

#endif  // SOURCE_BASE_HEAP_BYTES_H_
