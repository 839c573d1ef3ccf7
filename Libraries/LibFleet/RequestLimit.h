#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Fleet {

/// What an answer of a backend server says about the rate of requests that the server takes from all entry hosts
/// together.
struct LimitStatement {
    /// Requests per second. Empty if the answer names no limit.
    std::optional<double> perSecond;
    /// The server made the statement between these times: when the request was sent, and when its answer arrived.
    Core::TimePoint earliest;
    Core::TimePoint latest;
};

/// The request rate limit of one backend server, as the server's newest answer states it.
///
/// Answers overtake each other, and entry hosts pass them on with a delay. A statement replaces another one if its
/// request was sent after the other answer had arrived. Where their order is unknown, the lower limit is assumed.
class RequestLimit {
public:
    /// Returns whether the limit has changed.
    bool update(LimitStatement const&);
    /// Empty if the server takes any number of requests.
    std::optional<double> perSecond() const { return newest_.perSecond; }
    LimitStatement const& newest() const { return newest_; }

private:
    LimitStatement newest_;
};

} // namespace Fleet
