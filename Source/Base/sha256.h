#ifndef SOURCE_BASE_SHA256_H_
#define SOURCE_BASE_SHA256_H_

#include <string_view>

#include "Base/ids.h"

namespace cowslip {

/// Computes the SHA-256 digest in lower-case hexadecimal.
Digest Sha256(std::string_view bytes);

}  // namespace cowslip

#endif  // SOURCE_BASE_SHA256_H_
