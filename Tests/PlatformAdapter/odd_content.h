#ifndef TESTS_PLATFORMADAPTER_ODD_CONTENT_H_
#define TESTS_PLATFORMADAPTER_ODD_CONTENT_H_

#include <string>
#include <vector>

namespace cowslip {

/// Returns JSON texts that a parser rejects, and others that name no backend
/// server. Strings and brackets are closed in all of them.
std::vector<std::string> OddContents();

}  // namespace cowslip

#endif  // TESTS_PLATFORMADAPTER_ODD_CONTENT_H_
