#include "Gateway/service_version_documents.h"

namespace cowslip {

namespace {

constexpr char kVersionsField[] = "versions";
constexpr char kWritesField[] = "writes";

}  // namespace

nlohmann::json EncodeServiceVersions(const ServiceVersions& record) {
  return {{kVersionsField, record.versions}, {kWritesField, record.writes}};
}

Result<ServiceVersions> DecodeServiceVersions(const Document& document) {
  try {
    return ServiceVersions{
        .versions = document.content.at(kVersionsField)
                        .get<std::set<SoftwareVersion>>(),
        .writes = document.content.at(kWritesField).get<uint64_t>(),
        .revision = document.version};
  } catch (const nlohmann::json::exception& error) {
    return Error(ErrorKind::kMalformedMessage,
                 "The record of the versions of service " +
                     document.name.value() + " is not readable (" +
                     error.what() + "). Delete it; it is written again.");
  }
}

}  // namespace cowslip
