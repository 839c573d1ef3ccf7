#pragma once

#include <LibNet/EventLoop.h>

#include <initializer_list>

namespace Net {

/// Turns signals of the process into calls on the loop's thread. One object at a time.
class SignalPipe final : private IoHandler {
public:
    /// The time is that at which the process received the signal, which is before the loop reads it.
    using Receiver = std::function<void(int signal, Core::TimePoint receivedAt)>;

    SignalPipe(EventLoop&, std::initializer_list<int> signals, Receiver);
    ~SignalPipe() override;
    SignalPipe(SignalPipe const&) = delete;
    SignalPipe& operator=(SignalPipe const&) = delete;

private:
    void onIo(bool isReadable, bool isWritable) override;

    EventLoop& loop_;
    Receiver receiver_;
    int readEnd_ { -1 };
};

} // namespace Net
