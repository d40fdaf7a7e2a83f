#ifndef SOURCE_PLATFORM_PLATFORM_JSON_H_
#define SOURCE_PLATFORM_PLATFORM_JSON_H_

#include <string>
#include <vector>

#include "Base/result.h"
#include "Platform/object_store.h"

namespace cowslip {

// The bodies of the platform's answers. The decoders return kMalformedMessage
// for anything that is not of the platform's form.

std::string EncodeListing(const std::vector<ListedObject>& objects);
Result<std::vector<ListedObject>> DecodeListing(const std::string& body);

std::string EncodeWatchResult(const WatchResult& result);
Result<WatchResult> DecodeWatchResult(const std::string& body);

std::string EncodeVmList(const std::vector<VmRecord>& vms);
Result<std::vector<VmRecord>> DecodeVmList(const std::string& body);

}  // namespace cowslip

#endif  // SOURCE_PLATFORM_PLATFORM_JSON_H_
