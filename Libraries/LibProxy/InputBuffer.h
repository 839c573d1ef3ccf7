#pragma once

#include <LibProxy/Socket.h>

#include <vector>

namespace Proxy {

/// Bytes received from a connection and not yet consumed. Grows by doubling up to its limit.
class InputBuffer {
public:
    explicit InputBuffer(std::size_t limit = defaultLimit)
        : limit_(limit)
    {
    }

    std::string_view view() const { return { storage_.data() + begin_, end_ - begin_ }; }
    bool isEmpty() const { return begin_ == end_; }
    /// Whether no more can be received before something is consumed.
    bool isFull() const { return end_ - begin_ >= limit_; }
    void consume(std::size_t bytes);
    IoResult receiveFrom(Socket&);
    /// Room for up to `bytes` more; what was written there counts after `commit`.
    std::span<char> prepare(std::size_t bytes);
    void commit(std::size_t bytes) { end_ += bytes; }
    /// Gives the memory back while nothing is stored, so that an idle connection holds none.
    void releaseMemory();

    static constexpr std::size_t defaultLimit = 64UL * 1024;

private:
    void makeRoom();

    static constexpr std::size_t initialBytes = 4096;

    std::size_t limit_;
    std::vector<char> storage_;
    std::size_t begin_ { 0 };
    std::size_t end_ { 0 };
};

} // namespace Proxy
