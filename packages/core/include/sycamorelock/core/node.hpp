// Makes all decisions of one instance. Inputs and the current time go in;
// messages, actions and numbered events come out through the sink. Uses no
// thread, clock or socket.
#pragma once

#include "sycamorelock/core/control_state.hpp"

#include <concepts>
#include <utility>
#include <vector>

namespace sycamorelock::core
{

/// Receives the results of decisions.
template <class T>
concept node_sink = requires(T& sink, instance_id to,
                             std::vector<peer_message> messages, action command,
                             event occurrence)
{
    sink.send(to, std::move(messages));
    sink.perform_action(std::move(command));
    sink.record_event(std::move(occurrence));
};

/// Passes inputs to the control state and drains its outbox after each.
template <node_sink Sink> class node
{
  public:
    node(node_options options, moment started, Sink& sink)
        : state_(std::move(options), started), sink_(sink)
    {
    }

    /// Calls `input` with the control state and passes the results to the sink.
    template <class Input> void handle(moment now, Input&& input)
    {
        state_.begin_input(now);
        std::forward<Input>(input)(state_);
        drain(now);
    }

    [[nodiscard]] const control_state& state() const { return state_; }

  private:
    void drain(moment now)
    {
        // Messages of this instance to itself are handled here, which may add
        // more messages.
        for (;;)
        {
            auto messages = state_.out().take_messages();
            if (messages.empty())
                break;
            for (auto& [to, contents] : messages)
            {
                if (to != state_.self())
                {
                    sink_.send(to, std::move(contents));
                    continue;
                }
                for (const peer_message& content : contents)
                    state_.handle_local_message(now, content);
            }
        }
        for (action& command : state_.out().take_actions())
            sink_.perform_action(std::move(command));
        for (event& occurrence : state_.out().take_events())
            sink_.record_event(std::move(occurrence));
    }

    control_state state_;
    Sink& sink_;
};

} // namespace sycamorelock::core
