#include "rosemarywinch/adapters/text_packer.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace rosemarywinch {

namespace {

constexpr int kCompressionLevel = 3;
// Bounds of the window in which matches are found, as powers of two. Receivers
// accept windows of this size by default.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// Returns the size of a window that covers both texts.
int WindowLog(const std::string& text, const std::string& reference) {
  const auto bits =
      static_cast<int>(std::bit_width(text.size() + reference.size()));
  return std::clamp(bits, kMinWindowLog, kMaxWindowLog);
}

}  // namespace

Result<std::string> Pack(const std::string& text,
                         const std::string& reference) {
  if (text.size() > kMaxUnpackedBytes) {
    return Fail(ErrorId::kMalformedMessage, "text is too large to pack");
  }
  const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLog(text, reference));
  // The checksum shows when the receiver holds another reference.
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), reference.data(), reference.size());
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  const size_t size = ZSTD_compress2(context.get(), packed.data(),
                                     packed.size(), text.data(), text.size());
  if (ZSTD_isError(size) != 0) {
    return Fail(ErrorId::kMalformedMessage, ZSTD_getErrorName(size));
  }
  packed.resize(size);
  return packed;
}

Result<std::string> Unpack(const std::string& packed,
                           const std::string& reference) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  // Unknown sizes and errors are the largest numbers.
  if (size > kMaxUnpackedBytes) {
    return Fail(ErrorId::kMalformedMessage, "packed text has no valid size");
  }
  const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
  std::string text(size, '\0');
  const size_t written = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), packed.data(), packed.size());
  if (ZSTD_isError(written) != 0) {
    return Fail(ErrorId::kMalformedMessage, ZSTD_getErrorName(written));
  }
  return text;
}

}  // namespace rosemarywinch
