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
/// \brief Validates a job's JSONL text and packs it into segments, in steps
/// short enough to share a thread with online requests.
///
/// Blank lines are skipped. All invalid lines are counted, and the first
/// BatchLimits::max_reported_lines are listed with their numbers. A job with an
/// invalid line yields no segments.
class BatchParser {
 public:
  /// `text` must outlive the parser.
  BatchParser(std::string_view text, BatchLimits limits);

  /// Parses about `bytes` more bytes. Returns false at the end of the text.
  bool ParseChunk(size_t bytes);
  /// Returns the job, or one error for all its invalid lines. Errors:
  /// kInvalidArgument, kTooLarge.
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
