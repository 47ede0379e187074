/** @file lone_vm.hpp A VM that is alone with its ledger, for tests. */
#pragma once

#include "ledger/ledger_writer_base.hpp"

namespace rosemarydeck
{

inline const customer_id acme("acme");

inline ledger_writer_options options_of(const std::string& vm, int run = 1)
{
    ledger_writer_options options;
    options.self = instance_id(vm + "." + std::to_string(run));
    options.member.vm = vm_id(vm);
    options.member.boot = "boot-of-" + vm;
    return options;
}

inline clock_reading at(std::chrono::milliseconds time)
{
    return {time_point(time), 1'000'000 + time.count(), time.count()};
}

inline ledger_share share_of(const ledger& value, const std::string& run)
{
    return value.accounts.at(acme).shares.at(instance_id(run));
}

/** A single VM whose ledger accepts every write at once. */
struct lone_vm
{
    wallet local_wallet;
    ledger_writer writer;
    std::uint64_t revision = 1;

    explicit lone_vm(ledger_writer_options options)
        : writer(std::move(options), local_wallet)
    {
        writer.refreshed(std::nullopt, 0, at(std::chrono::milliseconds(0)).now);
    }

    void renew(token_count prepaid, std::chrono::milliseconds time)
    {
        writer.prepare({{acme, prepaid}}, at(time));
        writer.written(++revision, at(time).now);
    }
};

} // namespace rosemarydeck
