#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Storage {

/// Appends an integer, least significant byte first on every host.
template <typename Integer> void putInteger(std::string& bytes, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        bytes.push_back(static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xFF));
}

/// Takes bytes off the front of a view. Once the view is too short, every further call returns nothing.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : bytes_(bytes)
    {
    }

    template <typename Integer> std::optional<Integer> integer()
    {
        auto const part = take(sizeof(Integer));
        if (!part)
            return std::nullopt;
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>((*part)[i])) << (8 * i);
        return static_cast<Integer>(value);
    }

    std::optional<std::string_view> take(std::uint64_t size)
    {
        if (isShort_ || size > bytes_.size()) {
            isShort_ = true;
            return std::nullopt;
        }
        auto const part = bytes_.substr(0, size);
        bytes_.remove_prefix(size);
        return part;
    }

    std::string_view rest() const { return bytes_; }

private:
    std::string_view bytes_;
    bool isShort_ { false };
};

} // namespace Storage
