#pragma once

#include <cstddef>
#include <unordered_map>

namespace Net {

class HttpClient;

/// Bounds the memory of all answers that are being read together.
///
/// Answers the pattern of servers in trouble whose bodies do not end: each stays below the bound of one answer for a
/// while, but a dozen of them need more memory than the host has. When the bound is reached, the largest answer gives
/// way, so that bodies without end do not push out the answers of sound servers. Used on the loop's thread.
class AnswerBudget {
public:
    explicit AnswerBudget(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// The client holds this much now. Returns the client that must give up its answer, which may be the same one; null
    /// if none.
    HttpClient* hold(HttpClient&, std::size_t bytes);
    void release(HttpClient&);
    std::size_t heldBytes() const { return heldBytes_; }

private:
    std::size_t maxBytes_;
    std::size_t heldBytes_ { 0 };
    std::unordered_map<HttpClient*, std::size_t> held_;
};

} // namespace Net
