#ifndef SOURCE_GATEWAY_SERVICE_VERSION_DOCUMENTS_H_
#define SOURCE_GATEWAY_SERVICE_VERSION_DOCUMENTS_H_

#include "Base/result.h"
#include "Placement/service_versions.h"
#include "Platform/document_store.h"

namespace cowslip {

/// The kind of the documents that record the software versions of services,
/// each named by its service.
inline constexpr char kServiceVersionsKind[] = "cowslip-service-versions";

nlohmann::json EncodeServiceVersions(const ServiceVersions& record);
/// Errors: kMalformedMessage.
Result<ServiceVersions> DecodeServiceVersions(const Document& document);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_SERVICE_VERSION_DOCUMENTS_H_
