/** @file memory_charge_func.hpp Charging of memory by fibers. */
#pragma once

#include "router/memory_account_base.hpp"

#include <boost/asio/io_context.hpp>

namespace rosemarydeck
{

/**
 * Charges a connection's memory. Connections that have to yield to it are given
 * time to do so: suspends the calling fiber then.
 * @param io The io_context of the fiber's thread.
 * @param given_up Returns true once the connection no longer needs the memory.
 * @return False if the memory must not be used.
 */
bool await_charge(boost::asio::io_context& io, memory_account& account,
                  holder_id id, std::size_t bytes, const runtime_clock& clock,
                  const std::function<bool()>& given_up);

} // namespace rosemarydeck
