// State of one simulated instance; included only by the sources of fake_fleet.
#pragma once

#include "fake_fleet.hpp"

namespace sycamorelock::core::testing
{

struct fake_fleet::fake_node
{
    struct sink
    {
        fake_fleet* fleet = nullptr;
        std::size_t index = 0;
        void send(instance_id to, std::vector<peer_message> messages)
        {
            fleet->on_send(index, to, std::move(messages));
        }
        void perform_action(const action& command)
        {
            fleet->on_action(index, command);
        }
        void record_event(const event& occurrence)
        {
            ++fleet->events_[occurrence.number];
        }
    };
    std::string name;
    std::size_t domain = 0;
    std::uint32_t incarnation = 0;
    bool live = false;
    bool paused = false;
    time_point next_tick;
    std::uint64_t sequence = 0;
    /// Incarnation and sequence number of the latest batch from each sender.
    std::map<std::size_t, std::pair<std::uint32_t, std::uint64_t>>
        last_batch_received;
    sink out;
    std::unique_ptr<node<sink>> core;
    std::vector<attempt_result> results;
};

} // namespace sycamorelock::core::testing
