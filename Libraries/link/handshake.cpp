#include "link/handshake.h"

namespace cyclamenledge::link {

namespace {

std::string text_of(peer_identity const& identity) {
    return wire::identity_text(identity.process, identity.incarnation, identity.role, identity.failure_domain);
}

template <class Message>
peer_identity identity_of(Message const& message) {
    return {message.process, message.incarnation, message.role, message.failure_domain};
}

template <class Message>
void set_identity(Message& message, peer_identity const& identity) {
    message.process = identity.process;
    message.incarnation = identity.incarnation;
    message.role = identity.role;
    message.failure_domain = identity.failure_domain;
}

template <class Native>
awaitable_result<Native> read_message(tcp::socket& socket) {
    BOOST_OUTCOME_CO_TRY(auto const frame, co_await read_frame(socket));
    if (frame.kind() != wire::message_traits<Native>::kind)
        co_return base::make_error(base::error_kind::protocol_error, "unexpected frame in the handshake");
    co_return frame.template unpack<Native>();
}

base::error invalid_proof() {
    return base::make_error(base::error_kind::authentication_failed, "the peer does not know a shared key");
}

} // namespace

awaitable_result<peer_identity> connect_handshake(tcp::socket& socket, wire::authenticator const& authenticator,
                                                  peer_identity const& self) {
    wire::schema::HelloT hello;
    set_identity(hello, self);
    BOOST_OUTCOME_CO_TRY(hello.nonce, wire::authenticator::make_nonce());
    BOOST_OUTCOME_CO_TRYV(co_await write_bytes(socket, wire::encode(hello)));

    BOOST_OUTCOME_CO_TRY(auto const reply, co_await read_message<wire::schema::HelloReplyT>(socket));
    auto const peer = identity_of(reply);
    wire::handshake_transcript const transcript{hello.nonce, reply.nonce, text_of(self), text_of(peer)};
    if (!authenticator.verify(wire::handshake_side::accepting, transcript, reply.mac))
        co_return invalid_proof();

    wire::schema::HelloConfirmT confirm;
    confirm.mac = authenticator.sign(wire::handshake_side::connecting, transcript);
    BOOST_OUTCOME_CO_TRYV(co_await write_bytes(socket, wire::encode(confirm)));
    co_return peer;
}

awaitable_result<peer_identity> accept_handshake(tcp::socket& socket, wire::authenticator const& authenticator,
                                                 peer_identity const& self) {
    BOOST_OUTCOME_CO_TRY(auto const hello, co_await read_message<wire::schema::HelloT>(socket));
    auto const peer = identity_of(hello);
    wire::schema::HelloReplyT reply;
    set_identity(reply, self);
    BOOST_OUTCOME_CO_TRY(reply.nonce, wire::authenticator::make_nonce());
    wire::handshake_transcript const transcript{hello.nonce, reply.nonce, text_of(peer), text_of(self)};
    reply.mac = authenticator.sign(wire::handshake_side::accepting, transcript);
    BOOST_OUTCOME_CO_TRYV(co_await write_bytes(socket, wire::encode(reply)));

    BOOST_OUTCOME_CO_TRY(auto const confirm, co_await read_message<wire::schema::HelloConfirmT>(socket));
    if (!authenticator.verify(wire::handshake_side::connecting, transcript, confirm.mac))
        co_return invalid_proof();
    co_return peer;
}

} // namespace cyclamenledge::link
