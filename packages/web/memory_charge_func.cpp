/** @file memory_charge_func.cpp Charging of memory by fibers. */
#include "web/memory_charge_func.hpp"

#include "web/fiber_scheduler_base.hpp"

namespace rosemarydeck
{

namespace
{

/** Pause in which connections that were told to yield do so, and the number of
 *  pauses: one whose fiber waits for the link may take longer. */
constexpr auto yield_pause = std::chrono::milliseconds(2);
constexpr int max_yield_pauses = 50;

} // namespace

bool await_charge(boost::asio::io_context& io, memory_account& account,
                  holder_id id, std::size_t bytes, const runtime_clock& clock,
                  const std::function<bool()>& given_up)
{
    for (int pause = 0; pause < max_yield_pauses; ++pause) {
        const auto result = account.charge(id, bytes, clock.now());
        if (result != memory_result::wait)
            return result == memory_result::charged;
        fiber_sleep(io, yield_pause);
        if (given_up())
            return false;
    }
    return false;
}

} // namespace rosemarydeck
