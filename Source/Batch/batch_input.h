#ifndef SOURCE_BATCH_BATCH_INPUT_H_
#define SOURCE_BATCH_BATCH_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/ids.h"
#include "Base/result.h"

namespace cowslip {

/// \class BatchLimits
/// \brief Limits on one job's JSONL text.
struct BatchLimits {
  size_t max_bytes = 64 << 20;
  uint32_t max_items = 400'000;
  /// The most bytes of one line.
  size_t max_item_bytes = 256 * 1024;
  size_t max_custom_id_bytes = 128;
  /// Nesting of arrays and objects in one line.
  size_t max_depth = 32;
  /// Distinct routes, methods and urls in one job.
  size_t max_targets = 32;
  /// The most invalid lines that an error lists.
  size_t max_reported_lines = 20;
};

/// \class ItemTarget
/// \brief Where an item is sent. An empty route means the route of the job.
struct ItemTarget {
  RouteId route;
  std::string method = "POST";
  /// Path and query; empty for the route's own path.
  std::string url;

  friend auto operator<=>(const ItemTarget&, const ItemTarget&) = default;
};

/// \class BatchItem
/// \brief One item, parsed from a line of a job.
struct BatchItem {
  ItemId custom_id;
  ItemTarget target;
  /// JSON text.
  std::string body;
};

/// Reads one line:
/// `{"custom_id":"a","route":"r","method":"POST","url":"/p","body":{...}}`;
/// only `custom_id` and `body` are required. Errors: kInvalidArgument,
/// kTooLarge; the message says how to correct the line but has no line number.
Result<BatchItem> ParseBatchLine(std::string_view line,
                                 const BatchLimits& limits = {});

/// \class BatchInput
/// \brief A whole job, packed into segments that fit into objects of the store.
struct BatchInput {
  uint32_t items = 0;
  /// Lines joined by line feeds; each segment has at most kMaxSegmentBytes.
  std::vector<std::string> segments;
  /// The index of each segment's first item.
  std::vector<uint32_t> segment_starts;
  /// Every distinct target, sorted.
  std::vector<ItemTarget> targets;
};

/// Splits a stored segment into its lines.
std::vector<std::string_view> SplitSegment(std::string_view segment);

}  // namespace cowslip

#endif  // SOURCE_BATCH_BATCH_INPUT_H_
