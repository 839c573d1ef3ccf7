#pragma once

#include "Backend.h"

#include <httplib.h>

namespace Emulator {

/// The emulated server's HTTP side, on cpp-httplib's server and codec, so that tests of the router do not share a codec
/// with it.
class HttpFront final : public httplib::Server {
public:
    explicit HttpFront(Backend& backend);

    /// Returns the bound port, or nothing. The address of the identity is used; port 0 picks a free one.
    std::optional<std::uint16_t> bind(Core::Endpoint const&);

private:
    bool process_and_close_socket(socket_t descriptor) override;
    void addHandlers();
    void answer(httplib::Request const&, httplib::Response&, std::uint64_t bytes, std::uint64_t digest);
    void answerWithBody(httplib::Request const&, httplib::Response&, httplib::ContentReader const&);

    Backend& backend_;
};

/// Answers `GET /switches`, `POST /switches?name=value` and `GET /counts`.
void addAdminHandlers(httplib::Server&, Backend&);

} // namespace Emulator
