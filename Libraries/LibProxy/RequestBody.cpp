#include <LibProxy/RequestBody.h>

#include <algorithm>
#include <array>

namespace Proxy {

Core::Result<Core::Void, BodyError> RequestBody::buffer(
    std::size_t bytes, Core::TimePoint deadline, StopDeadline const& stopDeadline)
{
    constexpr std::size_t pieceBytes = 16UL * 1024;
    while (!isDone() && buffered_.size() < bytes) {
        auto const before = buffered_.size();
        buffered_.resize(before + std::min(pieceBytes, bytes - before));
        auto const decoded = decode(std::span(buffered_).subspan(before));
        buffered_.resize(before + (decoded.isError() ? 0 : decoded.value()));
        if (decoded.isError())
            return decoded.error();
        if (decoded.value() > 0 || isDone())
            continue;
        std::array<pollfd, 1> polled { pollfd { caller_.descriptor(), POLLIN | POLLRDHUP, 0 } };
        if (!stopDeadline.waitFor(polled, deadline))
            return BodyError::DeadlinePassed;
    }
    return Core::Void {};
}

Core::Result<std::size_t, BodyError> RequestBody::read(std::span<char> output)
{
    isStreamed_ = true;
    return decode(output);
}

Core::Result<std::size_t, BodyError> RequestBody::decode(std::span<char> output)
{
    while (true) {
        auto const decoded = reader_.readBody(input_, output);
        if (decoded.isError())
            return BodyError::Malformed;
        bytesRead_ += decoded.value();
        if (bytesRead_ > limit_)
            return BodyError::TooLarge;
        if (decoded.value() > 0 || isDone())
            return decoded.value();
        auto const received = input_.receiveFrom(caller_);
        if (received.status == IoStatus::WouldBlock)
            return std::size_t { 0 };
        if (received.status != IoStatus::Done)
            return BodyError::CallerLeft;
    }
}

} // namespace Proxy
