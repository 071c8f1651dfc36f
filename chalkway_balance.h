#ifndef CHALKWAY_BALANCE_H
#define CHALKWAY_BALANCE_H
/*
    chalkway_balance.h -- choice of a server by predicted time to the first byte

    WHAT IT IS
        One host's view of the servers of a pool: the requests that it runs
        there itself, the load that other hosts last reported, and the speed
        and failure rate of each server as learned from its own requests. The
        choice takes the server with the least predicted time to the first
        byte, plus the delay that the new prompt causes to the responses that
        already stream there.

        While an engine prefills a prompt, its streams stall: the gaps between
        their events grow with the length of the prompt. The stall for each
        prompt length is learned from the pool's own streams. Long prompts
        avoid servers whose streams they would delay beyond their gap limit,
        and streams that long prompts would delay are consolidated on few
        servers, filled in an order that is the same in all hosts.

        An engine prefills prompts one after the other, the more urgent ones
        first. A server's backlog for an urgency is therefore the time that it
        needs to prefill all pending prompts that are no less urgent. The
        prefill time of a token is learned from the time to the first byte
        (chalkway_prefill.h). Prompt parts that a server has prefilled count as
        cached there until as many further tokens were prefilled as fit into
        its prefix cache.

    HOW TO USE IT
            cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.hall = hall, .seed = host});
            cw_balance_set_servers(b, now_ms, specs, count);
            cw_choice_t c = cw_balance_choose(b, now_ms, &work, tried, tried_count);
            if (c.server != CW_BALANCE_NONE) {
                cw_run_t run = cw_balance_begin(b, now_ms, c.server, &work);
                cw_balance_on_first_byte(b, now_ms, &run);
                cw_balance_end(b, now_ms, &run, CW_TRY_SERVED);
            }

    WHAT IT DOES NOT DO
        It has no sockets and no queue. See chalkway_load.h for the load
        reports between hosts. The state of the servers is in
        chalkway_server_table.h, their load in chalkway_server_load.h, the terms
        of their cost in chalkway_server_cost.h, what is learned about them in
        chalkway_server_learning.h, about requests in chalkway_demand.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_contention.h"
#include "chalkway_occupancy.h"
#include "chalkway_owner.h"
#include "chalkway_server_cost.h"
#include "chalkway_server_table.h"

typedef struct cw_balance_desc_t {
    uint64_t hall;                  /* id of the own hall, preferred when all else is equal */
    uint64_t seed;                  /* id of the own host: breaks ties between servers of equal cost */
    uint32_t max_servers;           /* default 256; memory grows with the number in use */
    uint32_t max_peers;             /* hosts whose load reports are stored for one server, default 128 */
    uint32_t max_parts;             /* capacity of the table of cached prompt parts, default 131072 */
    uint32_t report_max_age_ms;     /* load reports of other hosts are ignored when older, default 1500 */
    uint32_t probe_interval_ms;     /* time until the first probe of an unreachable server, default 250 */
    uint32_t probe_interval_max_ms; /* longest time between two probes of an unreachable server, default 4000 */
    cw_forecast_mode_t forecast;
    /* Whether this host is the only one that sends to the server during its slow start; NULL: always true. */
    bool (*owns_server)(void* user_data, uint64_t server);
    void* user_data;
    cw_allocator_t allocator;
} cw_balance_desc_t;

/* The live hosts. */
typedef struct cw_fleet_t {
    const uint64_t* ids;
    uint32_t count;
    uint32_t missing;        /* hosts that vanished without a clean stop: they may run on behind a network partition */
    uint32_t propagation_ms; /* time until a load report has reached all hosts */
    /* Time until a load report has reached the server's other owner hosts (chalkway_owner.h). */
    uint32_t direct_propagation_ms;
} cw_fleet_t;

/* Numbers of servers that throttle this host now. */
typedef struct cw_throttled_t {
    uint32_t backing_off;  /* asked this host to back off */
    uint32_t rate_limited; /* advertise a rate */
    uint32_t owned_rates;  /* of these, servers where this host owns a share of the rate */
} cw_throttled_t;

typedef struct cw_balance_t cw_balance_t;

cw_balance_t* cw_balance_setup(const cw_balance_desc_t* desc);
void cw_balance_shutdown(cw_balance_t* b);
/* Replaces the list of servers; servers that stay in it keep their state. CW_ERR_FULL when there are too many. */
cw_status_t cw_balance_set_servers(cw_balance_t* b, int64_t now_ms, const cw_server_spec_t* specs, uint32_t count);
/* Index of a server; CW_BALANCE_NONE when it is not known. */
uint32_t cw_balance_find(const cw_balance_t* b, uint64_t id);
/* Sets the live hosts, this one among them. The ids are not copied: they must stay valid until the next call or the
   shutdown. */
void cw_balance_set_fleet(cw_balance_t* b, int64_t now_ms, const cw_fleet_t* fleet);
/* Counts a new request for the pool. */
void cw_balance_on_request(cw_balance_t* b, int64_t now_ms, const cw_work_t* work);
/* Whether the request's class is light: by its arrival rate and slot time it needs few of the pool's slots, and its
   prompts are short compared to those of the class with the longest ones. */
bool cw_balance_is_light(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work);
/* Whether the request is delay-tolerant: its target is much longer than the pool's shortest one. */
bool cw_balance_is_delay_tolerant(const cw_balance_t* b, const cw_work_t* work);
/* Sets the number of this host's requests of the urgency that wait for a slot. */
void cw_balance_set_waiting(cw_balance_t* b, int64_t now_ms, uint32_t urgency, uint32_t count);
/* Chooses the best server for the request, except those already tried.
   - A server whose backlog for the request's urgency exceeds the request's backlog limit (a multiple of its target) is
     chosen only where all candidates exceed it; the choice is then marked late. For a prompt that is placed
     (chalkway_placement.h) the candidates are those of the lowest level, if no level has an acceptable one.
   - A long prompt delays others, so a server where more urgent requests would exceed their backlog limit counts as late
     for it too: long prompts are not started while more urgent requests are refused.
   - The prefill of the request itself never makes it late: a late response is still useful.
   - No server is returned when requests with priority over this one are expected to take the free slots before this
     request would release its own.
   - A prompt whose shared parts take long to prefill, compared to its target, is placed (chalkway_placement.h), in
     fleets of more than CW_OWNER_SMALL_FLEET hosts and pools of at least CW_PLACEMENT_ENGINES_MIN engines. */
cw_choice_t cw_balance_choose(cw_balance_t* b, int64_t now_ms, const cw_work_t* work, const uint64_t* tried,
                              uint32_t tried_count);
/* Records that the request is sent to the server. The result has to be passed to cw_balance_end. */
cw_run_t cw_balance_begin(cw_balance_t* b, int64_t now_ms, uint32_t server, const cw_work_t* work);
/* Records the first byte of the response. True: it ends a suspicion of the server, which should be reported to the
   peers at once. */
bool cw_balance_on_first_byte(cw_balance_t* b, int64_t now_ms, cw_run_t* run);
/* Records a further event of a streamed response. */
void cw_balance_on_event(cw_balance_t* b, int64_t now_ms, cw_run_t* run);
/* Records the end of the request. */
void cw_balance_end(cw_balance_t* b, int64_t now_ms, cw_run_t* run, cw_try_result_t result);
/* The server may run another version of its software than the list names: no stream is resumed there and, if
   may_not_begin, none begins there while another server can be used. */
void cw_balance_set_doubted(cw_balance_t* b, uint64_t id, bool is_doubted, bool may_not_begin);
/* Sets whether this host has a connection to the server, and would notice its end. */
void cw_balance_set_observed(cw_balance_t* b, uint64_t id, bool is_observed);
/* Sets whether this host has an idle connection to the server; without one a request opens a new one. */
void cw_balance_set_idle_connection(cw_balance_t* b, uint64_t id, bool has_idle_connection);
/* Sets whether the server is unreachable. */
void cw_balance_set_unreachable(cw_balance_t* b, int64_t now_ms, uint64_t id, bool is_unreachable);
/* Records the rate limit in a response of the server that has just arrived: the requests per second that the server
   takes from all hosts together; per_s < 0: the response has none. The request was sent at sent_ms. True: the active
   rate changed. */
bool cw_balance_on_rate(cw_balance_t* b, int64_t now_ms, uint64_t id, int64_t sent_ms, double per_s);
/* The active rate, requests per second of all hosts together; < 0: none. */
double cw_balance_rate_per_s(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* Records a response that has just arrived: the limit on rejections per second that the server advertises in it, < 0:
   none. The request was sent at sent_ms. True: the active limit changed. */
bool cw_balance_on_reject_limit(cw_balance_t* b, int64_t now_ms, uint64_t id, int64_t sent_ms, double per_s);
/* Whether a limit on rejections is active at the server: its queue must not be used. One server that advertises a limit
   stands for those of its pool that have not responded since. */
bool cw_balance_has_reject_limit(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* Whether a limit on rejections is active at any server. */
bool cw_balance_is_reject_limited(const cw_balance_t* b, int64_t now_ms);
/* Records that the server asked this host to back off for ms. */
void cw_balance_back_off(cw_balance_t* b, int64_t now_ms, uint64_t id, uint32_t ms);
/* Whether this host backs off from the server now. */
bool cw_balance_is_backing_off(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* Time until the first server accepts a request of this host, if all servers throttle it; 0: some server doesn't, or
   the time is unknown. */
uint32_t cw_balance_throttle_wait_ms(const cw_balance_t* b, int64_t now_ms);
cw_throttled_t cw_balance_throttled(const cw_balance_t* b, int64_t now_ms);
/* Number of servers that this host takes for unreachable. */
uint32_t cw_balance_unreachable_count(const cw_balance_t* b);
/* Whether the server is suspected to be gone, by the reports of all hosts. */
bool cw_balance_is_suspected(const cw_balance_t* b, int64_t now_ms, uint64_t id);
/* Returns the id of an unreachable server whose probe is due, and schedules its next one; 0: no probe is due. */
uint64_t cw_balance_next_probe(cw_balance_t* b, int64_t now_ms);
/* This host's load at the server. */
cw_load_t cw_balance_own_load(const cw_balance_t* b, int64_t now_ms, uint32_t server);
/* Records the load report of another host. */
void cw_balance_on_peer_load(cw_balance_t* b, int64_t now_ms, uint64_t peer, uint64_t server, const cw_load_t* load);
/* Records that another host sent a prompt with this part to the server. */
void cw_balance_on_peer_prompt(cw_balance_t* b, uint64_t server, const cw_prompt_part_t* part);
/* Known share 0..1 of slots in use, over the servers that don't throttle this host; 1 when there are none. */
double cw_balance_utilization(const cw_balance_t* b, int64_t now_ms);
/* Learned shortest target of the pool's requests, ms; 0: none seen yet. */
double cw_balance_shortest_target_ms(const cw_balance_t* b);
/* This host's requests at the pool, by urgency. */
const cw_occupancy_t* cw_balance_occupancy(const cw_balance_t* b);
/* Learned gap between events of a stream while a prompt of so many tokens is prefilled on its server, ms. */
double cw_balance_stall_ms(const cw_balance_t* b, uint32_t tokens);
/* Records that the host resumed from suspend: times that span the suspension are not learned by the forecasts. */
void cw_balance_on_resume(cw_balance_t* b, int64_t now_ms);
/* Forecast error: quantile, 0..1, of observed / predicted time of the pool's last first events; 0: none yet. */
double cw_balance_forecast_ratio(const cw_balance_t* b, double quantile);
/* Whether the shared forecast is in use (chalkway_server_forecast.h). */
bool cw_balance_is_forecast_shared(const cw_balance_t* b);
/* Learned prefill time per token, ms. */
double cw_balance_prefill_ms_per_token(const cw_balance_t* b);

#endif /* CHALKWAY_BALANCE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_BALANCE_IMPL_INCLUDED
#define CHALKWAY_BALANCE_IMPL_INCLUDED

#include <assert.h>

#include "chalkway_demand.h"
#include "chalkway_server_forecast.h"
#include "chalkway_server_learning.h"
#include "chalkway_server_load.h"
#include "chalkway_server_prefix.h"

#define _CW_UNQUEUED_SLOT_SHARE 0.5 /* of an engine's slots: with more in use a prompt may have waited for a slot */

/* A class that needs less than this share of the slots is light. */
#define _CW_LIGHT_SLOT_SHARE 0.1

#define _CW_INTERVAL_RUNS_MAX 8 /* with more requests running no sample is taken */

#define _CW_OWNER_FREE_SHARE 0.5 /* of an engine's slots: with no more than these free, only owner hosts may use it */
#define _CW_REPORTED_AGE_MAX_MS 2000 /* older failures and responses in a peer's load report no longer matter */
/* Time for which a server is excluded after it refused a request for lack of capacity. */
#define _CW_FULL_EXCLUSION_MS 100
#define _CW_HALF_FREE_SHARE 0.5 /* of the slots of a server that limits its rejections */

struct cw_balance_t {
    cw_balance_desc_t desc;
    cw_server_table_t table;
    cw_prefix_cache_t* prefix_cache;
    cw_fleet_t fleet;
    uint64_t fleet_version; /* 1 + number of times that the fleet was set */
    cw_contention_t contention;
    cw_occupancy_t occupancy;
    cw_server_learning_t learning;
    cw_server_forecast_t forecast;
    cw_demand_t demand;
    cw_reject_limit_t pool_reject_limit; /* of the server that advertised one last */
};

static cw_balance_desc_t _cw_balance_desc_defaults(const cw_balance_desc_t* desc) {
    cw_balance_desc_t d = *desc;
    d.max_servers = d.max_servers ? d.max_servers : 256;
    d.max_peers = d.max_peers ? d.max_peers : 128;
    d.max_parts = d.max_parts ? d.max_parts : 131072;
    d.report_max_age_ms = d.report_max_age_ms ? d.report_max_age_ms : 1500;
    d.probe_interval_ms = d.probe_interval_ms ? d.probe_interval_ms : 250;
    d.probe_interval_max_ms = d.probe_interval_max_ms ? d.probe_interval_max_ms : 4000;
    return d;
}

cw_balance_t* cw_balance_setup(const cw_balance_desc_t* desc) {
    cw_balance_t* b = cw_alloc(&desc->allocator, 1, sizeof(*b));
    b->desc = _cw_balance_desc_defaults(desc);
    b->table = cw_server_table_setup(b->desc.max_servers, &b->desc.allocator);
    b->prefix_cache = cw_prefix_cache_setup(b->desc.max_parts, &b->desc.allocator);
    b->learning = cw_server_learning_init();
    b->forecast = cw_server_forecast_init(desc->forecast);
    b->fleet_version = 1;
    b->contention.seed = desc->seed;
    return b;
}

void cw_balance_shutdown(cw_balance_t* b) {
    cw_allocator_t allocator = b->desc.allocator;
    cw_server_table_shutdown(&b->table);
    cw_prefix_cache_shutdown(b->prefix_cache);
    cw_free(&allocator, b);
}

/* -- list of servers ------------------------------------------------------ */

uint32_t cw_balance_find(const cw_balance_t* b, uint64_t id) {
    return cw_server_table_find(&b->table, id);
}

cw_status_t cw_balance_set_servers(cw_balance_t* b, int64_t now_ms, const cw_server_spec_t* specs, uint32_t count) {
    cw_status_t status = cw_server_table_set(&b->table, now_ms, specs, count);
    cw_server_learning_find_fastest(&b->learning, &b->table);
    return status;
}

/* Load that a request of the urgency finds at the server. */
static cw_total_load_t _cw_balance_total_load(const cw_balance_t* b, const cw_pool_server_t* s, int64_t now_ms,
                                              uint32_t urgency) {
    cw_load_reader_t reader = {
        .forecast = &b->forecast, .learning = &b->learning, .report_max_age_ms = b->desc.report_max_age_ms};
    return cw_server_total_load(&reader, s, now_ms, urgency);
}

void cw_balance_on_peer_prompt(cw_balance_t* b, uint64_t server, const cw_prompt_part_t* part) {
    uint32_t at = cw_balance_find(b, server);
    if (at != CW_BALANCE_NONE) {
        cw_server_cache_part(b->prefix_cache, &b->table.servers[at], part);
    }
}

/* -- backlog limits, slow start and throttling ---------------------------- */

/* Whether more urgent requests would exceed their backlog limit at the server. wait_ms is its backlog for this urgency;
   it includes those of all more urgent ones, so the load is summed only for an urgency whose limit is below it. */
static bool _cw_balance_is_late_for_more_urgent(const cw_balance_t* b, const cw_pool_server_t* s, int64_t now_ms,
                                                uint32_t urgency, double wait_ms) {
    for (uint32_t i = 0; i < urgency; i++) {
        bool may_exceed = b->demand.backlog_limit_ms[i] > 0 && wait_ms > b->demand.backlog_limit_ms[i];
        if (may_exceed && _cw_balance_total_load(b, s, now_ms, i).wait_ms > b->demand.backlog_limit_ms[i]) {
            return true;
        }
    }
    return false;
}

/* Whether the backlog of the server, wait_ms for the request's urgency, is too long for the request. */
static bool _cw_balance_is_late(const cw_balance_t* b, const cw_pool_server_t* s, int64_t now_ms, const cw_work_t* work,
                                double wait_ms) {
    if (!s->spec.memory_tokens) {
        return false;
    }
    if (wait_ms > cw_demand_backlog_limit_ms(&b->demand, work)) {
        return true;
    }
    return cw_demand_is_long_prompt(&b->demand, work) &&
           _cw_balance_is_late_for_more_urgent(b, s, now_ms, cw_urgency_level(work->urgency), wait_ms);
}

static bool _cw_balance_is_tried(const uint64_t* tried, uint32_t count, uint64_t id) {
    for (uint32_t i = 0; i < count; i++) {
        if (tried[i] == id) {
            return true;
        }
    }
    return false;
}

static void _cw_balance_update_rate_share(const cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms) {
    cw_rate_set_hosts(&s->rate, now_ms,
                      &(cw_rate_hosts_t){.server = s->spec.id,
                                         .own = b->desc.seed,
                                         .ids = b->fleet.ids,
                                         .count = b->fleet.count,
                                         .missing = b->fleet.missing});
}

void cw_balance_set_fleet(cw_balance_t* b, int64_t now_ms, const cw_fleet_t* fleet) {
    b->fleet = *fleet;
    b->fleet_version++;
    cw_server_forecast_set_hosts(&b->forecast, fleet->count);
    for (uint32_t i = 0; i < b->table.entry_count; i++) {
        _cw_balance_update_rate_share(b, &b->table.servers[i], now_ms);
    }
}

/* Whether this host is an owner host of the server. Evaluated lazily, for busy servers only, since it hashes the ids of
   all hosts. */
static bool _cw_balance_is_owner_host(const cw_balance_t* b, cw_pool_server_t* s) {
    if (s->owner_fleet_version != b->fleet_version) {
        s->owner_fleet_version = b->fleet_version;
        s->is_owner_host = cw_owner_includes(s->spec.id, b->desc.seed, b->fleet.ids, b->fleet.count);
    }
    return s->is_owner_host;
}

bool cw_balance_on_rate(cw_balance_t* b, int64_t now_ms, uint64_t id, int64_t sent_ms, double per_s) {
    uint32_t at = cw_balance_find(b, id);
    if (at == CW_BALANCE_NONE) {
        return false;
    }
    cw_pool_server_t* s = &b->table.servers[at];
    bool changed = per_s < 0 ? cw_rate_on_withdrawn(&s->rate, sent_ms, now_ms)
                             : cw_rate_on_advertised(&s->rate, sent_ms, now_ms, per_s);
    if (changed) {
        _cw_balance_update_rate_share(b, s, now_ms);
    }
    return changed;
}

void cw_balance_back_off(cw_balance_t* b, int64_t now_ms, uint64_t id, uint32_t ms) {
    uint32_t at = cw_balance_find(b, id);
    if (at != CW_BALANCE_NONE) {
        cw_backoff_start(&b->table.servers[at].backoff, now_ms, ms);
    }
}

bool cw_balance_is_backing_off(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    return at != CW_BALANCE_NONE && now_ms < b->table.servers[at].backoff.until_ms;
}

double cw_balance_rate_per_s(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    bool is_active = at != CW_BALANCE_NONE && cw_rate_is_active(&b->table.servers[at].rate, now_ms);
    return is_active ? b->table.servers[at].rate.observation.per_s : -1;
}

cw_throttled_t cw_balance_throttled(const cw_balance_t* b, int64_t now_ms) {
    cw_throttled_t throttled = {0};
    for (uint32_t i = 0; i < b->table.entry_count; i++) {
        const cw_pool_server_t* s = &b->table.servers[i];
        bool is_rate_limited = s->is_used && s->is_listed && cw_rate_is_active(&s->rate, now_ms);
        throttled.backing_off += s->is_used && s->is_listed && now_ms < s->backoff.until_ms;
        throttled.rate_limited += is_rate_limited;
        throttled.owned_rates += is_rate_limited && s->rate.is_owner;
    }
    return throttled;
}

bool cw_balance_on_reject_limit(cw_balance_t* b, int64_t now_ms, uint64_t id, int64_t sent_ms, double per_s) {
    uint32_t at = cw_balance_find(b, id);
    if (at == CW_BALANCE_NONE) {
        return false;
    }
    cw_reject_limit_t* limit = &b->table.servers[at].reject_limit;
    if (per_s < 0) {
        cw_reject_limit_on_absent(&b->pool_reject_limit, sent_ms, now_ms);
        return cw_reject_limit_on_absent(limit, sent_ms, now_ms);
    }
    cw_reject_limit_on_peer(&b->pool_reject_limit, now_ms, (uint32_t)per_s);
    return cw_reject_limit_on_advertised(limit, now_ms, (uint32_t)per_s);
}

static bool _cw_balance_is_reject_limited(const cw_balance_t* b, const cw_pool_server_t* s, int64_t now_ms) {
    bool has_withdrawn = s->reject_limit.withdrawn_ms > s->reject_limit.advertised_ms;
    return cw_reject_limit_is_active(&s->reject_limit, now_ms) ||
           (!has_withdrawn && cw_reject_limit_is_active(&b->pool_reject_limit, now_ms));
}

bool cw_balance_has_reject_limit(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    return at != CW_BALANCE_NONE && _cw_balance_is_reject_limited(b, &b->table.servers[at], now_ms);
}

bool cw_balance_is_reject_limited(const cw_balance_t* b, int64_t now_ms) {
    return cw_reject_limit_is_active(&b->pool_reject_limit, now_ms);
}

void cw_balance_on_request(cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    cw_contention_on_request(&b->contention, now_ms, work->urgency);
    cw_occupancy_on_request(&b->occupancy, work->urgency, work->prompt_tokens);
}

void cw_balance_set_waiting(cw_balance_t* b, int64_t now_ms, uint32_t urgency, uint32_t count) {
    cw_contention_set_waiting(&b->contention, now_ms, urgency, count);
}

/* -- admission to an engine ----------------------------------------------- */

/* Extrapolates a figure of this host to all hosts, assuming equal load. */
static double _cw_balance_fleet_total(const cw_balance_t* b, double own) {
    return own * (b->fleet.count ? b->fleet.count : 1);
}

bool cw_balance_is_light(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    double slots = 0;
    for (uint32_t i = 0; i < b->table.entry_count; i++) {
        const cw_pool_server_t* s = &b->table.servers[i];
        slots += cw_server_is_unthrottled(s, now_ms) ? s->spec.slots : 0;
    }
    double rate = cw_contention_rate_per_s(&b->contention, now_ms, work->urgency);
    double needed_slots = _cw_balance_fleet_total(b, cw_occupancy_slots(&b->occupancy, work->urgency, rate));
    return needed_slots < _CW_LIGHT_SLOT_SHARE * slots && cw_occupancy_has_short_prompts(&b->occupancy, work->urgency);
}

/* Free slots to reserve for requests with priority over this one: those expected to take a slot before this request
   would release its own. Long prompts occupy a slot for seconds: if they start at the onset of a burst of more urgent
   requests, the burst lacks these slots at its peak. A late request leaves slots to all requests that are in time,
   those of its own urgency included. */
static double _cw_balance_reserved_slots(const cw_balance_t* b, int64_t now_ms, const cw_work_t* work) {
    uint32_t end = work->is_late ? CW_URGENCY_LEVELS : work->urgency;
    double hold_ms = cw_occupancy_hold_ms(&b->occupancy, work->urgency);
    double expected_slots = 0;
    for (uint32_t i = 0; i < end && i < CW_URGENCY_LEVELS && !work->is_light; i++) {
        double rate = cw_contention_rate_per_s(&b->contention, now_ms, i);
        expected_slots += cw_occupancy_growth(&b->occupancy, i, rate, hold_ms);
    }
    return _cw_balance_fleet_total(b, expected_slots);
}

/* Whether this host may place the request at an engine with so many free slots. The last slots are for its owner hosts
   only, which use them in random time slices (chalkway_contention.h). */
static bool _cw_balance_can_use(const cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms, const cw_work_t* work,
                                double free_slots) {
    bool is_large_fleet = b->fleet.count > CW_OWNER_SMALL_FLEET;
    bool is_last_slots = is_large_fleet && free_slots <= _CW_OWNER_FREE_SHARE * s->spec.slots;
    if (free_slots <= 0 || (is_last_slots && !_cw_balance_is_owner_host(b, s))) {
        return false;
    }
    cw_contention_use_t use = {.server = s->spec.id,
                               .free_slots = free_slots,
                               .urgency = cw_work_queue_urgency(work),
                               .hosts = is_last_slots ? CW_OWNER_HOSTS : b->fleet.count,
                               .delay_ms = is_last_slots ? b->fleet.direct_propagation_ms : b->fleet.propagation_ms};
    return cw_contention_may_use(&b->contention, now_ms, &use);
}

/* Slots of the server that this host may use whatever the others do: all hosts together have as many as there are,
   those included that may run on behind a network partition. */
static uint32_t _cw_balance_own_slots(const cw_balance_t* b, const cw_pool_server_t* s) {
    uint32_t hosts = (b->fleet.count ? b->fleet.count : 1) + b->fleet.missing;
    uint32_t rank = cw_rendezvous_rank(s->spec.id, b->desc.seed, b->fleet.ids, b->fleet.count);
    return s->spec.slots / hosts + (rank < s->spec.slots % hosts);
}

/* Whether so few requests arrive at all hosts, before they hear of each other's, that the server has free slots for
   twice as many. While requests wait, all hosts would take a slot at the moment when it becomes free. */
static bool _cw_balance_has_spare_slots(const cw_balance_t* b, const cw_pool_server_t* s, int64_t now_ms,
                                        const cw_work_t* work, double free_slots) {
    cw_contention_use_t use = {.server = s->spec.id,
                               .free_slots = free_slots,
                               .urgency = cw_work_queue_urgency(work),
                               .hosts = b->fleet.count,
                               .delay_ms = b->fleet.propagation_ms};
    return free_slots > _CW_HALF_FREE_SHARE * s->spec.slots && !cw_contention_has_waiting(&b->contention) &&
           cw_contention_contenders(&b->contention, now_ms, &use) <= _CW_HALF_FREE_SHARE * free_slots;
}

/* Whether this host may use a free slot of a server that limits its rejections: its own share of the slots, and more
   while slots are plenty. */
static bool _cw_balance_can_use_limited(const cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms,
                                        const cw_work_t* work, double free_slots) {
    uint32_t peer_rejections = cw_server_peer_rejections(s, now_ms);
    if (cw_reject_limit_is_used_up(&s->reject_limit, now_ms, peer_rejections)) {
        return false;
    }
    if (!s->spec.slots) {
        return true;
    }
    return free_slots > 0 &&
           (s->running < _cw_balance_own_slots(b, s) || _cw_balance_has_spare_slots(b, s, now_ms, work, free_slots));
}

/* -- choice --------------------------------------------------------------- */

uint32_t cw_balance_throttle_wait_ms(const cw_balance_t* b, int64_t now_ms) {
    uint32_t soonest_ms = CW_RATE_NEVER;
    for (uint32_t i = 0; i < b->table.entry_count; i++) {
        const cw_pool_server_t* s = &b->table.servers[i];
        uint32_t ms = s->is_used && s->is_listed ? cw_server_throttle_ms(s, now_ms) : CW_RATE_NEVER;
        soonest_ms = ms < soonest_ms ? ms : soonest_ms;
    }
    return soonest_ms == CW_RATE_NEVER ? 0 : soonest_ms;
}

static cw_choice_t _cw_balance_evaluate(const cw_balance_t* b, uint32_t at, const cw_cost_input_t* in) {
    const cw_pool_server_t* s = &b->table.servers[at];
    cw_total_load_t sum = _cw_balance_total_load(b, s, in->now_ms, cw_urgency_level(in->work->urgency));
    cw_choice_t c = cw_server_evaluate(in, s, &sum);
    c.server = at;
    return c;
}

/* Whether a choice is better than the best one so far. */
static bool _cw_balance_is_better(const cw_work_t* work, const cw_choice_t* c, const cw_choice_t* best) {
    if (best->server == CW_BALANCE_NONE) {
        return true;
    }
    if (work->rendezvous_key) {
        return cw_mix(work->rendezvous_key, c->id) > cw_mix(work->rendezvous_key, best->id);
    }
    return c->is_late != best->is_late ? best->is_late : c->cost_ms < best->cost_ms;
}

static void _cw_balance_offer(cw_placement_selector_t* selector, const cw_choice_t* c) {
    cw_placement_candidate_t candidate = {
        .server = c->id, .cost_ms = c->cost_ms, .first_event_ms = c->first_event_ms, .is_late = c->is_late};
    cw_placement_offer(selector, &candidate);
}

/* The choice of the selected server. */
static cw_choice_t _cw_balance_placed_choice(const cw_balance_t* b, const cw_cost_input_t* in,
                                             const cw_placement_selector_t* selector) {
    cw_placement_selected_t selected = cw_placement_select(selector);
    if (!selected.server) {
        return (cw_choice_t){.server = CW_BALANCE_NONE};
    }
    uint32_t at = cw_balance_find(b, selected.server);
    cw_choice_t c = _cw_balance_evaluate(b, at, in);
    c.is_late = _cw_balance_is_late(b, &b->table.servers[at], in->now_ms, in->work, c.wait_ms);
    c.is_placed = true;
    c.level = selected.level;
    return c;
}

cw_choice_t cw_balance_choose(cw_balance_t* b, int64_t now_ms, const cw_work_t* work, const uint64_t* tried,
                              uint32_t tried_count) {
    cw_choice_t best = {.server = CW_BALANCE_NONE};
    cw_excluded_t excluded = {0};
    uint32_t candidates = 0;
    double free_slots = 0; /* at all engines that are not excluded */
    cw_server_forecast_refresh(&b->forecast, &b->table, now_ms);
    cw_prefix_t prefix = cw_server_find_prefix(b->prefix_cache, &b->table, work);
    bool is_placed = b->forecast.is_shared && cw_server_is_placement_needed(&b->table, b->fleet.count, work, &prefix,
                                                                            b->forecast.pool.mean_pace_ms);
    cw_server_ranks_t ranks = cw_server_rank(&b->table, now_ms, &prefix, is_placed);
    cw_placement_selector_t selector = cw_placement_selector(&ranks.placement, work->target_ms);
    cw_cost_input_t in = {.now_ms = now_ms,
                          .work = work,
                          .prefix = &prefix,
                          .ranks = &ranks,
                          .prefix_cache = b->prefix_cache,
                          .learning = &b->learning,
                          .forecast = &b->forecast,
                          .demand = &b->demand,
                          .listed_count = b->table.listed_count,
                          .hall = b->desc.hall,
                          .seed = b->desc.seed};
    cw_exclusion_input_t exclusion = {.now_ms = now_ms,
                                      .host = b->desc.seed,
                                      .hosts = b->fleet.count,
                                      .exclude_suspects = cw_server_can_exclude_suspects(&b->table, now_ms),
                                      .work = work,
                                      .owns_server = b->desc.owns_server,
                                      .user_data = b->desc.user_data};
    double slot_share = cw_demand_slot_share(&b->demand, work);
    cw_demand_learn_backlog_limit(&b->demand, work);
    for (uint32_t i = 0; i < b->table.entry_count; i++) {
        cw_pool_server_t* s = &b->table.servers[i];
        if (!s->is_used || !s->is_listed) {
            continue;
        }
        uint32_t* excluded_by = _cw_balance_is_tried(tried, tried_count, s->spec.id)
                                    ? &excluded.tried
                                    : cw_server_exclusion_counter(&exclusion, s, &excluded);
        if (excluded_by) {
            ++*excluded_by;
            continue;
        }
        cw_choice_t c = _cw_balance_evaluate(b, i, &in);
        free_slots += (double)s->spec.slots - c.running;
        bool is_limited = _cw_balance_is_reject_limited(b, s, now_ms);
        double usable_slots = (s->spec.memory_tokens ? slot_share : 1) * s->spec.slots - c.running;
        if ((is_limited && !_cw_balance_can_use_limited(b, s, now_ms, work, usable_slots)) ||
            (s->spec.memory_tokens && !_cw_balance_can_use(b, s, now_ms, work, usable_slots))) {
            excluded.no_slot++;
            continue;
        }
        candidates++;
        c.is_late = _cw_balance_is_late(b, s, now_ms, work, c.wait_ms);
        if (is_placed) {
            _cw_balance_offer(&selector, &c);
        } else if (_cw_balance_is_better(work, &c, &best)) {
            best = c;
        }
    }
    best = is_placed ? _cw_balance_placed_choice(b, &in, &selector) : best;
    bool is_engine = best.server != CW_BALANCE_NONE && b->table.servers[best.server].spec.memory_tokens;
    double reserved_slots = is_engine ? _cw_balance_reserved_slots(b, now_ms, work) : 0;
    if (is_engine && free_slots - reserved_slots < 1) {
        best = (cw_choice_t){.server = CW_BALANCE_NONE};
        excluded.no_slot += candidates;
        candidates = 0;
    }
    best.reserved_slots = reserved_slots;
    best.candidates = candidates;
    best.excluded = excluded;
    return best;
}

/* -- runs ----------------------------------------------------------------- */

/* Adds the prompt to the tokens that are pending at the engine. */
static void _cw_balance_begin_forecast(const cw_balance_t* b, cw_pool_server_t* s, const cw_total_load_t* sum,
                                       double fetch_ms, cw_run_t* run) {
    bool is_wait_in_tokens = b->forecast.is_shared && sum->pace_ms > 0;
    double tokens_ahead = is_wait_in_tokens ? sum->wait_ms / sum->pace_ms : sum->pending_tokens;
    cw_forecast_prompt_t prompt = {.urgency = run->urgency,
                                   .tokens = run->uncached_tokens,
                                   .tokens_ahead = tokens_ahead,
                                   .base_ms = b->learning.prefill.base_ms,
                                   .fetch_ms = fetch_ms};
    run->forecast = cw_forecast_begin(&s->forecast, &b->forecast.pool, run->begun_ms, &prompt);
    run->expected_ms = b->forecast.is_shared ? run->forecast.expected_ms : sum->wait_ms + run->prefill_ms;
}

cw_run_t cw_balance_begin(cw_balance_t* b, int64_t now_ms, uint32_t server, const cw_work_t* work) {
    assert(server < b->table.entry_count && b->table.servers[server].is_used);
    cw_pool_server_t* s = &b->table.servers[server];
    cw_run_t run = {.server = server,
                    .id = s->spec.id,
                    .begun_ms = now_ms,
                    .gap_ms = work->gap_ms,
                    .urgency = cw_urgency_level(work->urgency)};
    cw_total_load_t sum = _cw_balance_total_load(b, s, now_ms, run.urgency);
    run.backlog_ahead_ms = sum.backlog_ms;
    run.is_unqueued =
        sum.backlog_ms < 1.0 && sum.running < _CW_UNQUEUED_SLOT_SHARE * s->spec.slots && now_ms >= s->cold_until_ms;
    if (s->spec.memory_tokens) {
        cw_prefix_t prefix = cw_server_find_prefix(b->prefix_cache, &b->table, work);
        uint32_t cached_tokens = cw_server_cached_tokens(b->prefix_cache, s, work);
        uint32_t fetched_tokens = cw_server_fetched_tokens(s, &prefix, cached_tokens, b->learning.prefill.ms_per_token);
        run.is_unqueued = run.is_unqueued && !fetched_tokens;
        run.uncached_tokens = work->prompt_tokens - cached_tokens - fetched_tokens;
        double fetch_ms = s->spec.fetch_ms_per_token * fetched_tokens;
        run.prefill_ms =
            b->forecast.is_shared
                ? sum.pace_ms * run.uncached_tokens + fetch_ms
                : b->learning.prefill.ms_per_token * run.uncached_tokens * cw_server_slowdown(s, now_ms) + fetch_ms;
        run.tokens = work->prompt_tokens + work->output_tokens;
        run.plan = cw_backlog_add(&s->backlog, now_ms, run.urgency, run.prefill_ms);
        _cw_balance_begin_forecast(b, s, &sum, fetch_ms, &run);
        s->longest_prompt_tokens =
            work->prompt_tokens > s->longest_prompt_tokens ? work->prompt_tokens : s->longest_prompt_tokens;
        cw_demand_learn_work(&b->demand, work, run.backlog_ahead_ms);
        for (uint32_t i = 0; i < work->part_count; i++) {
            cw_server_cache_part(b->prefix_cache, s, &work->parts[i]);
        }
    }
    s->running++;
    cw_occupancy_begin(&b->occupancy, run.urgency);
    s->tokens += run.tokens;
    cw_bucket_take(&s->cold, now_ms, 1); /* no effect outside of slow start */
    cw_rate_on_send(&s->rate, now_ms);
    cw_backoff_on_send(&s->backoff, now_ms);
    return run;
}

static cw_pool_server_t* _cw_balance_server_of_run(const cw_balance_t* b, const cw_run_t* run) {
    if (run->server == CW_BALANCE_NONE) {
        return NULL;
    }
    cw_pool_server_t* s = &b->table.servers[run->server];
    return s->is_used && s->spec.id == run->id ? s : NULL;
}

/* The prompt is prefilled, or never will be: removes it from the backlog. */
static void _cw_balance_end_prefill(cw_pool_server_t* s, int64_t now_ms, cw_run_t* run) {
    run->answered = true;
    if (s->spec.memory_tokens) {
        cw_backlog_remove(&s->backlog, now_ms, &run->plan);
        cw_forecast_end(&s->forecast, &run->forecast);
    }
    s->longest_prompt_tokens = s->backlog.pending[CW_URGENCY_LEVELS - 1] ? s->longest_prompt_tokens : 0;
}

/* Records that the server answers a request that was sent at sent_ms. True: it was suspected until now. */
static bool _cw_balance_record_response(cw_pool_server_t* s, int64_t sent_ms) {
    s->own_answered_ms = sent_ms > s->own_answered_ms ? sent_ms : s->own_answered_ms;
    s->own_failed_ms = sent_ms >= s->own_failed_ms ? 0 : s->own_failed_ms;
    return cw_suspect_on_response(&s->suspicion, sent_ms);
}

/* Learns from a first event. One whose time spans a suspension of this host tells nothing about the engine. */
static void _cw_balance_learn_first_event(cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms, cw_run_t* run) {
    cw_server_learn_prefill(&b->learning, s, now_ms, run);
    bool is_sample = cw_forecast_first_event(&s->forecast, &b->forecast.pool, now_ms, &run->forecast) > 0;
    if (is_sample && run->expected_ms > 0) {
        cw_forecast_error_add(&b->forecast.error, (double)(now_ms - run->begun_ms) / run->expected_ms);
    }
}

bool cw_balance_on_first_byte(cw_balance_t* b, int64_t now_ms, cw_run_t* run) {
    cw_pool_server_t* s = _cw_balance_server_of_run(b, run);
    if (!s || run->answered) {
        return false;
    }
    if (s->spec.memory_tokens) {
        _cw_balance_learn_first_event(b, s, now_ms, run);
    }
    _cw_balance_end_prefill(s, now_ms, run);
    if (run->gap_ms) {
        cw_gap_limits_add(&s->gap_limits, run->gap_ms, 1);
    }
    run->last_event_ms = now_ms;
    run->stream = cw_gap_stream_begin(now_ms);
    run->concurrent_prompt_tokens = _cw_balance_total_load(b, s, now_ms, run->urgency).longest_prompt_tokens;
    return _cw_balance_record_response(s, run->begun_ms);
}

void cw_balance_on_event(cw_balance_t* b, int64_t now_ms, cw_run_t* run) {
    cw_pool_server_t* s = _cw_balance_server_of_run(b, run);
    if (!s || !run->answered || !s->spec.memory_tokens) {
        return;
    }
    cw_gap_stream_on_event(&run->stream, &b->forecast.gaps, now_ms);
    cw_total_load_t sum = _cw_balance_total_load(b, s, now_ms, run->urgency);
    uint32_t longest_prompt_tokens = sum.longest_prompt_tokens > run->concurrent_prompt_tokens
                                         ? sum.longest_prompt_tokens
                                         : run->concurrent_prompt_tokens;
    double event_gap_ms = (double)(now_ms - run->last_event_ms);
    if (longest_prompt_tokens) {
        cw_stalls_learn(&b->learning.stalls, longest_prompt_tokens,
                        event_gap_ms / cw_server_speed_ratio(&b->forecast, &b->learning, s, sum.pace_ms));
    } else if (sum.running <= _CW_INTERVAL_RUNS_MAX) {
        cw_server_learn_interval(&b->learning, &b->table, s, event_gap_ms);
    }
    run->last_event_ms = now_ms;
    run->concurrent_prompt_tokens = sum.longest_prompt_tokens;
}

static void _cw_balance_record_failure(const cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms) {
    s->own_failed_ms = now_ms;
    cw_suspect_on_own_failure(&s->suspicion, b->desc.seed, now_ms);
}

void cw_balance_end(cw_balance_t* b, int64_t now_ms, cw_run_t* run, cw_try_result_t result) {
    cw_pool_server_t* s = _cw_balance_server_of_run(b, run);
    if (run->server != CW_BALANCE_NONE) {
        cw_occupancy_end(&b->occupancy, run->urgency);
    }
    run->server = CW_BALANCE_NONE;
    if (!s) {
        return;
    }
    if (run->answered && run->gap_ms) {
        cw_gap_limits_add(&s->gap_limits, run->gap_ms, -1);
    }
    if (!run->answered) {
        _cw_balance_end_prefill(s, now_ms, run);
    } else if (s->spec.memory_tokens) {
        cw_gap_forecast_end(&s->gap_forecast, &b->forecast.gaps, now_ms, &run->stream);
    }
    s->running -= s->running > 0;
    s->tokens -= run->tokens < s->tokens ? run->tokens : s->tokens;
    switch (result) {
        case CW_TRY_SERVED:
            cw_occupancy_learn(&b->occupancy, run->urgency, (double)(now_ms - run->begun_ms));
            cw_server_learn_failure(s, now_ms, 0);
            if (!s->spec.memory_tokens) {
                cw_server_learn_call(&b->learning, s, now_ms, run);
            }
            break;
        case CW_TRY_FAILED:
            cw_server_learn_failure(s, now_ms, 1);
            break;
        case CW_TRY_BROKEN:
            cw_server_learn_failure(s, now_ms, 1);
            _cw_balance_record_failure(b, s, now_ms);
            break;
        case CW_TRY_UNREACHABLE:
            _cw_balance_record_failure(b, s, now_ms);
            cw_balance_set_unreachable(b, now_ms, run->id, true);
            break;
        case CW_TRY_FULL:
            s->full_until_ms = now_ms + _CW_FULL_EXCLUSION_MS;
            cw_reject_limit_on_rejected(&s->reject_limit, now_ms);
            break;
        case CW_TRY_CANCELLED:
            break;
    }
}

void cw_balance_set_doubted(cw_balance_t* b, uint64_t id, bool is_doubted, bool may_not_begin) {
    uint32_t at = cw_balance_find(b, id);
    if (at != CW_BALANCE_NONE) {
        b->table.servers[at].is_doubted = is_doubted;
        b->table.servers[at].may_not_begin = may_not_begin;
    }
}

void cw_balance_set_observed(cw_balance_t* b, uint64_t id, bool is_observed) {
    uint32_t at = cw_balance_find(b, id);
    if (at != CW_BALANCE_NONE) {
        b->table.servers[at].is_observed = is_observed;
    }
}

void cw_balance_set_idle_connection(cw_balance_t* b, uint64_t id, bool has_idle_connection) {
    uint32_t at = cw_balance_find(b, id);
    if (at != CW_BALANCE_NONE) {
        b->table.servers[at].has_idle_connection = has_idle_connection;
    }
}

void cw_balance_set_unreachable(cw_balance_t* b, int64_t now_ms, uint64_t id, bool is_unreachable) {
    uint32_t at = cw_balance_find(b, id);
    if (at == CW_BALANCE_NONE) {
        return;
    }
    cw_pool_server_t* s = &b->table.servers[at];
    if (!is_unreachable) {
        s->probe_interval_ms = 0;
    } else if (!s->is_unreachable) {
        s->probe_interval_ms = b->desc.probe_interval_ms;
        s->next_probe_ms = now_ms + s->probe_interval_ms;
    }
    b->table.unreachable_count += is_unreachable - s->is_unreachable;
    s->is_unreachable = is_unreachable;
}

uint32_t cw_balance_unreachable_count(const cw_balance_t* b) {
    return b->table.unreachable_count;
}

bool cw_balance_is_suspected(const cw_balance_t* b, int64_t now_ms, uint64_t id) {
    uint32_t at = cw_balance_find(b, id);
    return at != CW_BALANCE_NONE && cw_suspect_is_active(&b->table.servers[at].suspicion, now_ms);
}

uint64_t cw_balance_next_probe(cw_balance_t* b, int64_t now_ms) {
    for (uint32_t i = 0; i < b->table.entry_count && b->table.unreachable_count; i++) {
        cw_pool_server_t* s = &b->table.servers[i];
        if (!s->is_used || !s->is_listed || !s->is_unreachable || now_ms < s->next_probe_ms ||
            cw_server_throttle_ms(s, now_ms)) {
            continue;
        }
        s->probe_interval_ms = s->probe_interval_ms * 2 > b->desc.probe_interval_max_ms ? b->desc.probe_interval_max_ms
                                                                                        : s->probe_interval_ms * 2;
        s->next_probe_ms = now_ms + s->probe_interval_ms;
        cw_rate_on_send(&s->rate, now_ms); /* a health check counts against the server's rate, too */
        return s->spec.id;
    }
    return 0;
}

/* -- load reports --------------------------------------------------------- */

cw_load_t cw_balance_own_load(const cw_balance_t* b, int64_t now_ms, uint32_t server) {
    return cw_server_own_load(&b->forecast, &b->table.servers[server], now_ms);
}

/* Merges the failures and responses that another host observed. Its report may have been in transit for
   propagation_ms. */
static void _cw_balance_merge_suspicion(const cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms, uint64_t peer,
                                        const cw_load_t* load) {
    if (load->failed_ago_ms && load->failed_ago_ms < _CW_REPORTED_AGE_MAX_MS) {
        cw_suspect_on_failure(&s->suspicion, peer, now_ms - load->failed_ago_ms);
    }
    if (load->answered_ago_ms && load->answered_ago_ms < _CW_REPORTED_AGE_MAX_MS) {
        cw_suspect_on_response(&s->suspicion, now_ms - load->answered_ago_ms - b->fleet.propagation_ms);
    }
}

static void _cw_balance_merge_rate(const cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms, const cw_load_t* load) {
    cw_rate_observation_t observation = {
        .state = load->rate, .per_s = load->rate_per_ks / 1000.0, .at_ms = now_ms - load->rate_ago_ms};
    if (cw_rate_on_peer(&s->rate, &observation, b->fleet.propagation_ms)) {
        _cw_balance_update_rate_share(b, s, now_ms);
    }
}

static void _cw_balance_merge_reject_limit(cw_balance_t* b, cw_pool_server_t* s, int64_t now_ms,
                                           const cw_load_t* load) {
    if (load->has_reject_limit) {
        int64_t at_ms = now_ms - load->reject_limit_ago_ms - b->fleet.propagation_ms;
        cw_reject_limit_on_peer(&s->reject_limit, at_ms, load->reject_limit_per_s);
        cw_reject_limit_on_peer(&b->pool_reject_limit, at_ms, load->reject_limit_per_s);
    }
}

void cw_balance_on_peer_load(cw_balance_t* b, int64_t now_ms, uint64_t peer, uint64_t server, const cw_load_t* load) {
    uint32_t at = cw_balance_find(b, server);
    if (at == CW_BALANCE_NONE) {
        return;
    }
    cw_pool_server_t* s = &b->table.servers[at];
    cw_server_merge_interval(&b->learning, &b->table, s, load->event_interval_us);
    cw_server_forecast_on_peer(&b->forecast, s, now_ms, load);
    _cw_balance_merge_suspicion(b, s, now_ms, peer, load);
    _cw_balance_merge_rate(b, s, now_ms, load);
    _cw_balance_merge_reject_limit(b, s, now_ms, load);
    cw_report_limits_t limits = {.max_peers = b->desc.max_peers,
                                 .report_max_age_ms = b->desc.report_max_age_ms,
                                 .allocator = &b->desc.allocator};
    cw_server_store_report(s, now_ms, peer, load, &limits);
}

double cw_balance_utilization(const cw_balance_t* b, int64_t now_ms) {
    double slots = 0;
    double running = 0;
    for (uint32_t i = 0; i < b->table.entry_count; i++) {
        const cw_pool_server_t* s = &b->table.servers[i];
        if (cw_server_is_unthrottled(s, now_ms)) {
            slots += s->spec.slots;
            running += _cw_balance_total_load(b, s, now_ms, 0).running;
        }
    }
    return slots > 0 ? running / slots : 1;
}

const cw_occupancy_t* cw_balance_occupancy(const cw_balance_t* b) {
    return &b->occupancy;
}

bool cw_balance_is_delay_tolerant(const cw_balance_t* b, const cw_work_t* work) {
    return cw_demand_is_delay_tolerant(&b->demand, work);
}

double cw_balance_shortest_target_ms(const cw_balance_t* b) {
    return b->demand.short_target_ms;
}

double cw_balance_stall_ms(const cw_balance_t* b, uint32_t tokens) {
    return cw_stalls_expected_ms(&b->learning.stalls, tokens, b->learning.prefill.ms_per_token);
}

void cw_balance_on_resume(cw_balance_t* b, int64_t now_ms) {
    cw_server_forecast_on_resume(&b->forecast, now_ms);
}

bool cw_balance_is_forecast_shared(const cw_balance_t* b) {
    return b->forecast.is_shared;
}

double cw_balance_forecast_ratio(const cw_balance_t* b, double quantile) {
    return cw_forecast_error_quantile(&b->forecast.error, quantile);
}

double cw_balance_prefill_ms_per_token(const cw_balance_t* b) {
    return b->learning.prefill.ms_per_token;
}

#endif /* CHALKWAY_BALANCE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
