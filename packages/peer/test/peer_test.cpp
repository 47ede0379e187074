/** @file peer_test.cpp Tests handshake and messages over loopback sockets. */
#include "peer/peer_auth_func.hpp"
#include "peer/peer_link_base.hpp"

#include <catch2/catch.hpp>

using namespace rosemarydeck;

namespace
{

/** One end of a link, with what its handlers have received. */
struct test_peer
{
    member_info self;
    std::vector<std::string> received;
    std::vector<error> failures;
    int connected = 0;
    int disconnected = 0;
    std::unique_ptr<peer_link> link;

    test_peer(boost::asio::io_context& context, const std::string& name,
              const std::string& key)
    {
        self.vm = vm_id(name);
        self.instance = instance_id(name + ".1");
        self.address = "127.0.0.1";
        peer_link_options options;
        options.self = self;
        options.cluster_key = key;
        options.max_queue_bytes = 1 << 20;
        options.min_reconnect_delay_ms = 10;
        link = std::make_unique<peer_link>(
            context, options,
            peer_link_handlers{
                [this](const auto&) { ++connected; },
                [this](const auto&) { ++disconnected; },
                [this](const auto&, const auto& bytes) {
                    received.push_back(bytes);
                },
                [this](const auto& fault) { failures.push_back(fault); }});
        self.peer_port = *link->listen();
    }
};

template <class Condition>
bool run_until(boost::asio::io_context& context, Condition condition)
{
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < deadline)
        context.run_one_for(std::chrono::milliseconds(50));
    return condition();
}

} // namespace

TEST_CASE("two VMs with the same cluster key exchange messages in order")
{
    boost::asio::io_context context;
    test_peer a(context, "a", "0123456789abcdef");
    test_peer b(context, "b", "0123456789abcdef");
    a.link->dial("127.0.0.1", b.self.peer_port);
    b.link->dial("127.0.0.1", a.self.peer_port);
    REQUIRE(run_until(context, [&] { return a.connected && b.connected; }));
    for (int count = 0; count < 100; ++count)
        REQUIRE(a.link->send(b.self.instance, std::to_string(count)));
    REQUIRE(run_until(context, [&] { return b.received.size() == 100; }));
    CHECK(b.received.front() == "0");
    CHECK(b.received.back() == "99");
    CHECK_FALSE(a.link->send(instance_id("nobody"), "x"));
    b.link->stop();
    CHECK(run_until(context, [&] { return a.disconnected > 0; }));
    a.link->stop();
}

TEST_CASE("a peer with another cluster key is rejected")
{
    boost::asio::io_context context;
    test_peer a(context, "a", "0123456789abcdef");
    test_peer intruder(context, "s", "another-key-than-that");
    intruder.link->dial("127.0.0.1", a.self.peer_port);
    REQUIRE(run_until(context, [&] { return !a.failures.empty(); }));
    CHECK(a.connected == 0);
    CHECK(a.failures.front().code == error_code::denied);
    a.link->stop();
    intruder.link->stop();
}

TEST_CASE("a proof matches only for the same key and text")
{
    const auto proof = make_proof("key", "text");
    CHECK(proofs_equal(proof, make_proof("key", "text")));
    CHECK_FALSE(proofs_equal(proof, make_proof("kez", "text")));
    CHECK_FALSE(proofs_equal(proof, make_proof("key", "texu")));
    CHECK(make_nonce() != make_nonce());
}
