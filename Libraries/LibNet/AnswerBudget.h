#pragma once

#include <cstddef>
#include <unordered_map>

namespace Net {

class HttpClient;

/// Bounds the memory of all answers that are being read together.
///
/// Answers the pattern of servers in trouble whose bodies do not end: each stays below the bound of one answer for a
/// while, but a dozen of them need more memory than the host has. When the bound is reached, the largest answer
/// without a length gives way, since one with a length has an end; only if there is none, the largest of all. Used on
/// the loop's thread.
class AnswerBudget {
public:
    explicit AnswerBudget(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// The client holds this much now. Returns the client that must give up its answer, which may be the same one; null
    /// if none.
    HttpClient* hold(HttpClient&, std::size_t bytes, bool hasLength);
    void release(HttpClient&);
    std::size_t heldBytes() const { return heldBytes_; }

private:
    /// In the order in which answers give way.
    struct Held {
        bool hasNoLength { false };
        std::size_t bytes { 0 };

        auto operator<=>(Held const&) const = default;
    };

    std::size_t maxBytes_;
    std::size_t heldBytes_ { 0 };
    std::unordered_map<HttpClient*, Held> held_;
};

} // namespace Net
