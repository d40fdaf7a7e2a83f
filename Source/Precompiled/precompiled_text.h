#ifndef SOURCE_PRECOMPILED_PRECOMPILED_TEXT_H_
#define SOURCE_PRECOMPILED_PRECOMPILED_TEXT_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#endif  // SOURCE_PRECOMPILED_PRECOMPILED_TEXT_H_
