#ifndef SOURCE_BATCH_BATCH_PARSER_H_
#define SOURCE_BATCH_BATCH_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "Base/result.h"
#include "Batch/batch_input.h"

namespace cowslip {

/// \class BatchParser
/// \brief Checks a job's JSONL text and packs it into segments, in steps short
/// enough to share a thread with online requests.
///
/// Blank lines are skipped. Every faulty line is found, the first ones are
/// named with their numbers, and a job with any fault has no segments.
class BatchParser {
 public:
  /// `text` must outlive the parser.
  BatchParser(std::string_view text, BatchLimits limits);

  /// Parses about that many more bytes; false at the end of the text.
  bool ParseChunk(size_t bytes);
  /// The job, or one error for all its faults. Errors: kInvalidArgument,
  /// kTooLarge.
  Result<BatchInput> Finish();

 private:
  void ParseLine(std::string_view line);
  void AddError(std::string message);
  void AppendToSegment(std::string_view line);

  const BatchLimits m_limits;
  std::string_view m_remaining;
  uint32_t m_line_number = 0;
  size_t m_error_count = 0;
  std::string m_error_text;
  bool m_too_large = false;
  std::unordered_set<std::string> m_custom_ids;
  std::set<ItemTarget> m_targets;
  BatchInput m_input;
};

/// Parses a whole text at once.
Result<BatchInput> ParseBatch(std::string_view text,
                              const BatchLimits& limits = {});

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_PARSER_H_
