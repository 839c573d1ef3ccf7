#pragma once

#include <LibCore/Result.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

enum class JsonFormat : std::uint8_t { Text, Cbor };

/// The limits on a document from outside this process. Many operations of the JSON library, such as copying and
/// writing, recurse once for each level.
struct JsonLimits {
    std::size_t maxDepth { 64 };
    /// The maximum number of values in the document, those in lists and objects included. Each takes 16 bytes or more.
    std::size_t maxValues { 1'000'000 };
};

/// Why a document was not read.
struct JsonError {
    std::string reason;
};

/// Reads one whole document. Nothing is built from what exceeds a limit, and no exception is thrown.
Result<nlohmann::json, JsonError> readJson(std::string_view bytes, JsonFormat, JsonLimits const& = {});

} // namespace Core
