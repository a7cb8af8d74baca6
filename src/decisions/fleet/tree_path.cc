#include "rosemarywinch/decisions/fleet/tree_path.h"

#include <algorithm>
#include <cctype>

namespace rosemarywinch {

namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxParts = 2;

std::vector<std::string> Split(std::string_view text) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (start < text.size()) {
    const size_t slash = std::min(text.find('/', start), text.size());
    parts.emplace_back(text.substr(start, slash - start));
    start = slash + 1;
  }
  return parts;
}

}  // namespace

bool IsValidName(std::string_view name) {
  const bool sized = !name.empty() && name.size() <= kMaxNameLength;
  return sized && std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

Result<TreePath> TreePath::Parse(std::string_view text) {
  if (text.empty() || text.front() != '/') {
    return Fail(ErrorId::kBadPath, std::string(text));
  }
  TreePath path;
  std::vector<std::string> parts = Split(text.substr(1));
  if (!parts.empty() && parts.back().starts_with('@')) {
    path.account = parts.back().substr(1);
    parts.pop_back();
    if (!IsValidName(path.account)) {
      return Fail(ErrorId::kBadPath, std::string(text));
    }
  }
  const bool names_valid = std::all_of(parts.begin(), parts.end(), IsValidName);
  if (parts.size() > kMaxParts || !names_valid) {
    return Fail(ErrorId::kBadPath, std::string(text));
  }
  if (!parts.empty()) {
    path.service = parts[0];
  }
  if (parts.size() == kMaxParts) {
    path.route = parts[1];
  }
  return path;
}

std::string TreePath::Text() const {
  std::string text;
  if (!service.empty()) {
    text += "/" + service;
  }
  if (!route.empty()) {
    text += "/" + route;
  }
  if (!account.empty()) {
    text += "/@" + account;
  }
  return text.empty() ? "/" : text;
}

TreeLevel TreePath::Level() const {
  if (!account.empty()) {
    return TreeLevel::kAccount;
  }
  if (!route.empty()) {
    return TreeLevel::kRoute;
  }
  return service.empty() ? TreeLevel::kFirm : TreeLevel::kService;
}

std::vector<std::string> TreePath::Chain() const {
  std::vector<TreePath> nodes{{}};
  if (!service.empty()) {
    nodes.push_back({service, "", ""});
  }
  if (!route.empty()) {
    nodes.push_back({service, route, ""});
  }
  std::vector<std::string> chain;
  chain.reserve(nodes.size() * 2);
  for (const TreePath& node : nodes) {
    chain.push_back(node.Text());
  }
  if (!account.empty()) {
    for (TreePath node : nodes) {
      node.account = account;
      chain.push_back(node.Text());
    }
  }
  return chain;
}

}  // namespace rosemarywinch
