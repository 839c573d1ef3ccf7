#include <LibOperator/OperatorPaths.h>

namespace Operator {

namespace {

    bool isUnreserved(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.'
            || c == '_' || c == '~';
    }

    std::string percentEncode(std::string_view text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string encoded;
        for (auto const c : text) {
            if (isUnreserved(c)) {
                encoded += c;
                continue;
            }
            auto const byte = static_cast<unsigned char>(c);
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 15];
        }
        return encoded;
    }

} // namespace

std::string makeTarget(std::string_view path, std::vector<std::pair<std::string_view, std::string>> const& parameters)
{
    std::string target(path);
    auto separator = '?';
    for (auto const& [name, value] : parameters) {
        if (value.empty())
            continue;
        target.append(1, separator).append(name).append("=").append(percentEncode(value));
        separator = '&';
    }
    return target;
}

} // namespace Operator
