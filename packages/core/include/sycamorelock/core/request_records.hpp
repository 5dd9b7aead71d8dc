// Records of an entry's recent requests, for `explain`.
#pragma once

#include "sycamorelock/core/reasons.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <deque>
#include <map>

namespace sycamorelock::core
{

/// State and result of one request, as `explain` reports it.
struct request_record
{
    request_id id;
    account_id account;
    service_id service;
    shard_id shard;
    endpoint_id endpoint;
    std::uint8_t urgency = 3;
    std::uint32_t attempts = 0;
    cost estimate;
    cost total;
    time_point accepted;
    time_point first_grant;
    time_point ended;
    bool refused = false;
    bool open = true;
    refusal_reason reason = refusal_reason::queue_full;
    executed ran = executed::no;
};

/// Bounded table of records. When it is full, the oldest record is dropped.
class request_records
{
  public:
    /// Returns the record of a request, inserting `initial` if there is none.
    request_record& find_or_add(const request_record& initial);
    /// Returns null if the request is unknown or its record was dropped.
    [[nodiscard]] const request_record* find(const request_id& id) const;

  private:
    std::map<request_id, request_record> records_;
    /// Requests in the order in which their records were inserted.
    std::deque<request_id> order_;
};

} // namespace sycamorelock::core
