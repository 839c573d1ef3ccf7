#include <LibNet/Compression.h>

#include <zlib.h>

#include <cstdlib>

namespace Net {

namespace {

    constexpr int compressionLevel = 1;
    /// The original length stands before the compressed bytes.
    constexpr std::size_t lengthBytes = 4;

    Bytef const* bytesOf(std::string_view text) { return reinterpret_cast<Bytef const*>(text.data()); }

} // namespace

std::string compress(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        result.push_back(static_cast<char>(text.size() >> (8 * i)));
    auto length = ::compressBound(text.size());
    result.resize(lengthBytes + length);
    auto* const out = reinterpret_cast<Bytef*>(result.data() + lengthBytes);
    // Fails only without memory, as every allocation here.
    if (::compress2(out, &length, bytesOf(text), text.size(), compressionLevel) != Z_OK)
        std::abort();
    result.resize(lengthBytes + length);
    return result;
}

std::optional<std::string> expand(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() < lengthBytes)
        return std::nullopt;
    std::size_t expected = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        expected |= std::size_t { static_cast<unsigned char>(bytes[i]) } << (8 * i);
    if (expected > maxBytes)
        return std::nullopt;
    std::string text(expected, '\0');
    auto length = static_cast<uLongf>(expected);
    auto const body = bytes.substr(lengthBytes);
    auto const result = ::uncompress(reinterpret_cast<Bytef*>(text.data()), &length, bytesOf(body), body.size());
    if (result != Z_OK || length != expected)
        return std::nullopt;
    return text;
}

} // namespace Net
