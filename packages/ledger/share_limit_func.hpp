/** @file share_limit_func.hpp How a grant opens with silence. */
#pragma once

#include "common/time_type.hpp"
#include "ledger/ledger_type.hpp"

namespace rosemarydeck
{

/** Until then a share opens by its slope: a renewal, a restart and a margin. */
constexpr std::chrono::milliseconds slope_span{4'000};
/** From slope_span until then the rest opens; cuts last longer than this. */
constexpr std::chrono::milliseconds full_span{8'000};

/**
 * @param silence Since the write that holds the share was sent.
 * @return Most that the run can have spent and reserved by then.
 */
token_count share_limit(const ledger_share& share, duration silence);

} // namespace rosemarydeck
