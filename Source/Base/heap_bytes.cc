#include "Base/heap_bytes.h"

#include <malloc.h>

namespace cowslip {

namespace {

// The threshold that the heap starts with; setting it keeps it from rising.
constexpr int kLargeBlockBytes = 128 * 1024;

}  // namespace

uint64_t HeapBytes() {
  const auto info = ::mallinfo2();
  return info.arena + info.hblkhd;
}

uint64_t AllocatedHeapBytes() {
  const auto info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

void ReturnLargeBlocks() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

void TrimHeap() {
  ::malloc_trim(0);
}

}  // namespace cowslip
