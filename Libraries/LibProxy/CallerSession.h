#pragma once

#include <LibProxy/Exchange.h>

namespace Proxy {

/// Serves the requests of one caller connection, one after the other.
class CallerSession {
public:
    /// `drainDescriptor` becomes readable when the server begins to drain.
    CallerSession(Environment& environment, CallerConnection& caller, int drainDescriptor)
        : environment_(environment)
        , caller_(caller)
        , drainDescriptor_(drainDescriptor)
    {
    }

    void run();

private:
    /// False when the connection stays idle too long, is closed, or the server drains.
    bool waitForRequest();
    /// Why no whole head came.
    struct HeadFailure {
        Reason reason { Reason::BadRequest };
        std::string detail;
        /// The caller ended its stream.
        bool isEnd { false };
    };

    Core::Result<Core::Void, HeadFailure> readHead(MessageReader&);
    void rejectHead(HeadFailure const&);
    bool serve(MessageReader&);

    Environment& environment_;
    CallerConnection& caller_;
    int drainDescriptor_;
};

} // namespace Proxy
