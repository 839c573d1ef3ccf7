#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace Consensus {

/// The immutable bytes of a command. All copies of a log entry share them, so that the log, the writes to the store and
/// the messages to peers together hold them once. May be used on several threads.
class Payload {
public:
    Payload() = default;
    Payload(std::string bytes)
        : bytes_(std::make_shared<std::string const>(std::move(bytes)))
    {
    }

    std::string_view view() const { return bytes_ ? std::string_view(*bytes_) : std::string_view(); }
    std::size_t size() const { return view().size(); }

    bool operator==(Payload const& other) const { return view() == other.view(); }

private:
    std::shared_ptr<std::string const> bytes_;
};

} // namespace Consensus
