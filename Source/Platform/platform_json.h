#ifndef SOURCE_PLATFORM_PLATFORM_JSON_H_
#define SOURCE_PLATFORM_PLATFORM_JSON_H_

#include <string>
#include <vector>

#include "Base/result.h"
#include "Platform/object_store.h"

namespace cowslip {

// Encodes and decodes the bodies of the platform's responses. The decoders
// return kMalformedMessage for a body that has an unexpected format.

std::string EncodeListing(const std::vector<ListedObject>& objects);
Result<std::vector<ListedObject>> DecodeListing(const std::string& body);

std::string EncodeWatchResult(const WatchResult& result);
Result<WatchResult> DecodeWatchResult(const std::string& body);

std::string EncodeVmList(const std::vector<VmRecord>& vms);
Result<std::vector<VmRecord>> DecodeVmList(const std::string& body);

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_PLATFORM_JSON_H_
