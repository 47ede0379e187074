/** @file client_stream_base.hpp One client's connection, watched for its end.
 */
#pragma once

#include "common/time_type.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/fiber/context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarydeck
{

/**
 * Reads into a buffer in the background, so that a client's leaving is seen
 * while its request is being served. Used by one fiber.
 */
class client_stream : public std::enable_shared_from_this<client_stream>
{
public:
    explicit client_stream(boost::asio::ip::tcp::socket socket);

    /** Bytes that were read and not yet used. */
    boost::beast::flat_buffer& buffer() { return buffer_; }
    /** Starts one read in the background, unless one runs. */
    void watch();
    /** Waits for more bytes. @return False at the end, a fault or timeout. */
    bool fill(duration timeout);
    /** Writes all. @return False if the client is gone or doesn't read. */
    bool write(const std::string& bytes, duration timeout);
    /** Called when the client's end is seen; replaces the one before. */
    void on_closed(std::function<void()> handler);

    /** @return True once the client has closed or reset the connection. */
    [[nodiscard]] bool closed() const { return closed_; }
    /** @return True if the last fill() ran into its timeout. */
    [[nodiscard]] bool timed_out() const { return timed_out_; }
    /** @return True while fill() waits with nothing read. */
    [[nodiscard]] bool idle() const
    {
        return waiter_ != nullptr && buffer_.size() == 0;
    }
    /** Ends the connection gracefully. */
    void close();
    /** Says that no more follows and drops what the client still sends, until
     *  it closes too: a close with bytes unread would reset the connection and
     *  lose the last answer. @param limit Longest time for this. */
    void linger(duration limit);
    /** Ends the connection so that no answer looks complete. */
    void abort();

private:
    void wake();
    void ended();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::array<char, 8'192> chunk_{};
    std::function<void()> on_closed_;
    boost::fibers::context* waiter_ = nullptr;
    std::uint64_t turn_ = 0; ///< Tells a timer's handler from an older one.
    bool reading_ = false;
    bool closed_ = false;
    bool timed_out_ = false;
};

} // namespace rosemarydeck
