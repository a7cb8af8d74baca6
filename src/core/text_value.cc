#include "rosemarywinch/core/text_value.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace rosemarywinch {

namespace {

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row.back();
}

}  // namespace

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, code] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (code != std::errc() || rest != end || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::optional<Duration> ParseMilliseconds(std::string_view text) {
  const std::optional<double> number = ParseNumber(text);
  if (!number) {
    return std::nullopt;
  }
  const auto limit = static_cast<double>(kMaxDuration.ms);
  return Duration{static_cast<int64_t>(std::clamp(*number, -limit, limit))};
}

std::string_view WithoutBlanks(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  const size_t last = text.find_last_not_of(" \t");
  return first == std::string_view::npos ? std::string_view()
                                         : text.substr(first, last - first + 1);
}

boost::leaf::error_id FailBadValue(const FieldInfo& field,
                                   std::string_view text) {
  std::string detail(field.name);
  detail += " = `" + std::string(text) + "`";
  if (!field.unit.empty()) {
    detail += ", unit " + std::string(field.unit);
  }
  if (field.HasRange()) {
    detail +=
        ", from " + NumberText(field.min) + " to " + NumberText(field.max);
  }
  return Fail(ErrorId::kBadValue, detail);
}

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names) {
  const auto nearest =
      std::min_element(names.begin(), names.end(), [&](auto& a, auto& b) {
        return EditDistance(name, a) < EditDistance(name, b);
      });
  return nearest == names.end() ? std::string() : *nearest;
}

std::string NumberText(double value) {
  if (std::abs(value) <= kLargestExactWhole && value == std::floor(value)) {
    return std::to_string(static_cast<int64_t>(value));
  }
  char buffer[64];
  std::snprintf(buffer, sizeof(buffer), "%.10g", value);
  return buffer;
}

}  // namespace rosemarywinch
