#include <LibCore/Memory.h>
#include <LibProxy/InputBuffer.h>

#include <algorithm>

namespace Proxy {

void InputBuffer::consume(std::size_t bytes)
{
    begin_ += bytes;
    if (begin_ == end_)
        begin_ = end_ = 0;
}

IoResult InputBuffer::receiveFrom(Socket& socket)
{
    makeRoom();
    auto const result = socket.receive(std::span(storage_).subspan(end_));
    end_ += result.bytes;
    return result;
}

std::span<char> InputBuffer::prepare(std::size_t bytes)
{
    makeRoom();
    auto const room = std::span(storage_).subspan(end_);
    return room.first(std::min(bytes, room.size()));
}

void InputBuffer::releaseMemory()
{
    if (isEmpty())
        Core::releaseMemory(storage_);
}

void InputBuffer::makeRoom()
{
    if (begin_ > 0 && end_ == storage_.size()) {
        std::copy(storage_.begin() + static_cast<std::ptrdiff_t>(begin_),
            storage_.begin() + static_cast<std::ptrdiff_t>(end_), storage_.begin());
        end_ -= begin_;
        begin_ = 0;
    }
    if (end_ == storage_.size())
        storage_.resize(std::clamp(storage_.size() * 2, std::min(initialBytes, limit_), limit_));
}

} // namespace Proxy
