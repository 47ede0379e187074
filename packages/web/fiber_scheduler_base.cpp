/** @file fiber_scheduler_base.cpp Fiber scheduler on an Asio io_context. */
#include "web/fiber_scheduler_base.hpp"

#include <boost/asio/post.hpp>

namespace rosemarydeck
{

fiber_scheduler::fiber_scheduler(boost::asio::io_context& context)
    : context_(context), work_(context.get_executor()), timer_(context)
{
}

void fiber_scheduler::awakened(boost::fibers::context* fiber) noexcept
{
    fiber->ready_link(ready_);
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept
{
    if (ready_.empty())
        return nullptr;
    auto* next = &ready_.front();
    ready_.pop_front();
    return next;
}

bool fiber_scheduler::has_ready_fibers() const noexcept
{
    return !ready_.empty();
}

void fiber_scheduler::suspend_until(
    std::chrono::steady_clock::time_point const& until) noexcept
{
    if (until != std::chrono::steady_clock::time_point::max()) {
        timer_.expires_at(until);
        timer_.async_wait([](const boost::system::error_code&) {});
    }
    // Blocks for one handler, then runs all others that are ready.
    context_.run_one();
    context_.poll();
}

void fiber_scheduler::notify() noexcept
{
    boost::asio::post(context_, [] {});
}

void fiber_sleep(boost::asio::io_context& context,
                 std::chrono::microseconds sleep_time)
{
    boost::asio::steady_timer timer(context, sleep_time);
    await_io([&](auto done) { timer.async_wait(std::move(done)); });
}

} // namespace rosemarydeck
