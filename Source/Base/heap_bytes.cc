#include "Base/heap_bytes.h"

#include <malloc.h>

namespace cowslip {

uint64_t HeapBytes() {
  const auto info = ::mallinfo2();
  return info.arena + info.hblkhd;
}

}  // namespace cowslip
