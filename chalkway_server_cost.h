#ifndef CHALKWAY_SERVER_COST_H
#define CHALKWAY_SERVER_COST_H
/*
    chalkway_server_cost.h -- the cost of a server for a request

    WHAT IT IS
        The predicted time to the first byte at a server, ms, plus the delay
        that the request causes to others, the risk of a failure, and the costs
        of the network. Servers are compared by this cost. Each term is one
        function, with its reason beside it.

    HOW TO USE IT
            cw_cost_input_t in = {.now_ms = now_ms, .work = &work, .prefix = &prefix, ...};
            cw_total_load_t sum = cw_server_total_load(&reader, s, now_ms, urgency);
            cw_choice_t c = cw_server_evaluate(&in, s, &sum);
            c.server = at;

    WHAT IT DOES NOT DO
        It excludes no server and compares none, see cw_balance_choose.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_demand.h"
#include "chalkway_server_exclusion.h"
#include "chalkway_server_forecast.h"
#include "chalkway_server_learning.h"
#include "chalkway_server_load.h"
#include "chalkway_server_prefix.h"
#include "chalkway_server_ranks.h"
#include "chalkway_server_table.h"

/* The chosen server and the inputs of the choice. */
typedef struct cw_choice_t {
    uint32_t server;            /* CW_BALANCE_NONE: no server has capacity */
    uint64_t id;                /* of the server */
    double cost_ms;             /* cost by which servers are compared */
    double reserved_slots;      /* free slots reserved for requests with priority over this one, over all servers */
    double wait_ms;             /* backlog of the server for the request's urgency, all hosts */
    double prefill_ms;          /* predicted prefill time of this prompt */
    uint32_t running;           /* requests of all hosts that run at the server */
    uint32_t age_ms;            /* of the oldest load report that was used */
    uint32_t cached_tokens;     /* tokens of the prompt that are assumed to be cached there */
    uint64_t fetch_source;      /* id of the server to fetch more of the prompt from; 0: none */
    uint32_t fetched_tokens;    /* tokens to fetch from fetch_source */
    uint32_t recomputed_tokens; /* tokens that are cached at another server and recomputed here all the same */
    uint32_t streaming;         /* streams at the server with the strictest gap limit */
    uint32_t candidates;        /* servers that had capacity */
    cw_excluded_t excluded;
    double interval_ratio;  /* time of a step of the server relative to the pool's fast ones, 1 while unknown */
    double pace_ms;         /* predicted time per prompt token */
    double first_event_ms;  /* predicted time to the first event */
    double gap_forecast_ms; /* predicted longest gap of a stream; 0: unknown */
    bool is_placed;         /* chosen by placement of the prompt's last shared part (chalkway_placement.h) */
    uint32_t level;         /* placement level of the server, if is_placed */
    bool is_late;           /* the backlog is too long at every candidate, see cw_balance_choose */
} cw_choice_t;

/* The inputs that are the same for all servers of one choice. */
typedef struct cw_cost_input_t {
    int64_t now_ms;
    const cw_work_t* work;
    const cw_prefix_t* prefix;      /* where the parts of the prompt are cached */
    const cw_server_ranks_t* ranks; /* for its last shared part */
    const cw_prefix_cache_t* prefix_cache;
    const cw_server_learning_t* learning;
    const cw_server_forecast_t* forecast;
    const cw_demand_t* demand;
    uint32_t listed_count; /* servers that may be chosen */
    uint64_t hall;         /* id of the own hall */
    uint64_t seed;         /* id of the own host: breaks ties between servers of equal cost */
} cw_cost_input_t;

/* The cost of the server with the total load sum for the request's urgency, and what it was computed from. The fields
   server, candidates, excluded, reserved_slots, is_late, is_placed and level are left to the caller. */
cw_choice_t cw_server_evaluate(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum);

#endif /* CHALKWAY_SERVER_COST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_COST_IMPL_INCLUDED
#define CHALKWAY_SERVER_COST_IMPL_INCLUDED

#include <math.h>

#define _CW_FAILURE_COST_MIN_MS 200.0 /* least cost of a failure */

/* Share of the predicted time to the first event that is within the error of the shared forecast. */

/* Costs of the network. Another hall costs as much as a new connection, for the traffic and latency between halls; a
   connection costs its latency and a connection slot of the server. */
#define _CW_OTHER_HALL_COST_MS 10.0
#define _CW_CONNECT_COST_MS 10.0

/* Cost of each step in the fill order for a gap-sensitive stream, as a share of its target. */
#define _CW_FILL_ORDER_COST_SHARE 0.1
/* Ratio to the shortest event interval above which a server comes last in the fill order. */
#define _CW_INTERVAL_SLOW_RATIO 1.15

/* Upper bound of the prefill time left at a server, as a factor on the known time and an addition to it: load reports
   arrive late, so more may be left than is known. The addition is the usual event interval. */
#define _CW_PREFILL_LEFT_FACTOR 1.2
#define _CW_PREFILL_LEFT_EXTRA_MS 20.0

#define _CW_RUN_COST_MS 0.5 /* cost of one more request at an engine: it slows down the others */
/* Cost of recomputing tokens that another server has cached, as a multiple of their prefill time. */
#define _CW_RECOMPUTE_FACTOR 20.0
/* Cost of fetching cached tokens, as a multiple of the fetch time: a fetch slows down other requests, too. */
#define _CW_FETCH_FACTOR 20.0
/* Cost of a server that neither caches nor owns the shared parts of a prompt that is not placed, as a multiple of the
   time to fetch them. */
#define _CW_CACHE_MISS_FACTOR 8.0
#define _CW_OVERFLOW_COST_MS 1000.0 /* of a server whose memory would overflow */
#define _CW_FORECAST_ERROR_SHARE                                                                                       \
    0.2                      /* of a predicted time to the first event: predictions within it count as equal           \
                              */
#define _CW_MEMORY_SHARE 0.9 /* usable share of a server's memory */

/* Cost, ms, of the risk that the attempt fails: the request misses its target. A request that may not be retried then
   fails as a whole, so it counts twice. */
static double _cw_cost_failure_ms(const cw_cost_input_t* in, const cw_pool_server_t* s) {
    double loss_ms = in->work->target_ms > _CW_FAILURE_COST_MIN_MS ? in->work->target_ms : _CW_FAILURE_COST_MIN_MS;
    return cw_server_failure_ratio(s, in->now_ms) * loss_ms * (in->work->repeatable ? 1 : 2);
}

/* Predicted time, ms, of a plain call: longer at a nearly full server, and proportional to the load once calls wait for
   a slot. */
static double _cw_cost_call_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum) {
    double slots = s->spec.slots ? s->spec.slots : 1;
    double load = (sum->running + 1) / slots;
    return in->learning->call_ms * (load <= 1 ? 1 + load * load : 2 * load);
}

/* Position in the order in which gap-sensitive streams fill the servers: slow ones come last. */
static double _cw_cost_fill_position(const cw_cost_input_t* in, const cw_pool_server_t* s) {
    return s->position + (cw_server_interval_ratio(in->learning, s) > _CW_INTERVAL_SLOW_RATIO ? in->listed_count : 0);
}

/* Probability that a prompt stalls a stream beyond gap_ms, while the prompts there take prefill_left_ms to prefill. */
static double _cw_cost_stall_risk(const cw_cost_input_t* in, uint32_t tokens, double gap_ms, double prefill_left_ms) {
    return cw_stalls_violation_risk(&in->learning->stalls, tokens, (uint32_t)gap_ms, in->learning->prefill.ms_per_token,
                                    prefill_left_ms);
}

/* Cost, ms, of the stalls that the prompt causes: each stream that it stalls beyond its gap limit counts as one missed
   target. The prefill left there may be more than is known. */
static double _cw_cost_caused_stall_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum,
                                       double prefill_ms) {
    if (!sum->streaming) {
        return 0;
    }
    double prefill_left_ms = _CW_PREFILL_LEFT_FACTOR * (sum->backlog_ms + prefill_ms) + _CW_PREFILL_LEFT_EXTRA_MS;
    double gap_ms = sum->gap_ms / cw_server_speed_ratio(in->forecast, in->learning, s, sum->pace_ms);
    return in->work->target_ms * sum->streaming *
           _cw_cost_stall_risk(in, in->work->prompt_tokens, gap_ms, prefill_left_ms);
}

/* Cost, ms, of the stalls of the response itself that are caused by the prompts prefilled there now. Their prefills end
   during its own prefill or soon after, so only half the cost is counted. */
static double _cw_cost_own_stall_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum) {
    if (in->forecast->is_shared) {
        return 0; /* in the gap forecast */
    }
    double gap_ms = in->work->gap_ms / cw_server_interval_ratio(in->learning, s);
    return sum->longest_prompt_tokens
               ? in->work->target_ms * _cw_cost_stall_risk(in, sum->longest_prompt_tokens, gap_ms, INFINITY) / 2
               : 0;
}

/* Cost, ms, of gaps beyond the limit of the response itself: it counts as one missed target. */
static double _cw_cost_gap_ms(const cw_cost_input_t* in, const cw_choice_t* c) {
    return in->forecast->is_shared ? in->work->target_ms * cw_gap_risk(c->gap_forecast_ms, in->work->gap_ms) : 0;
}

/* Cost, ms, of placing a gap-sensitive stream on the server. It makes the server unusable for long prompts, the more so
   the fewer such streams run there already; the cost is the time that long prompts wait now. The fill order decides
   between servers that are otherwise equal. */
static double _cw_cost_consolidation_ms(const cw_cost_input_t* in, const cw_pool_server_t* s,
                                        const cw_total_load_t* sum) {
    if (in->forecast->is_shared) {
        return 0; /* the gap forecast directs gap-sensitive streams to the engines that suit them */
    }
    double stall_risk = _cw_cost_stall_risk(in, (uint32_t)in->demand->long_prompt_tokens, in->work->gap_ms, INFINITY);
    double order_ms = in->work->target_ms * _CW_FILL_ORDER_COST_SHARE * _cw_cost_fill_position(in, s);
    double blocked_ms = in->demand->long_prompt_wait_ms / (1 + sum->streaming);
    return stall_risk * (order_ms + blocked_ms);
}

/* Cost, ms, of parts that another server has cached: they are recomputed or fetched. */
static double _cw_cost_recompute_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_choice_t* c) {
    return _CW_RECOMPUTE_FACTOR * in->learning->prefill.ms_per_token * c->recomputed_tokens +
           _CW_FETCH_FACTOR * s->spec.fetch_ms_per_token * c->fetched_tokens;
}

/* Cost, ms, of a server that neither caches nor owns the shared parts: it would store one more copy, and the owners
   would still have to prefill theirs later. Owners are the first servers for the part by rendezvous hashing, so all
   hosts agree on them without communication. While they are busy, the prompt goes elsewhere. A prompt that is placed
   has no such cost, since its level decides. */
static double _cw_cost_cache_miss_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, uint32_t cached_tokens) {
    bool is_available =
        in->ranks->is_placed || cached_tokens >= in->prefix->shared_tokens || cw_server_is_owner(in->ranks, s);
    return is_available
               ? 0
               : _CW_CACHE_MISS_FACTOR * s->spec.fetch_ms_per_token * (in->prefix->shared_tokens - cached_tokens);
}

/* Cost, ms, of memory overflow: the engine would preempt a running request. */
static double _cw_cost_overflow_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum) {
    double usable_tokens = _CW_MEMORY_SHARE * s->spec.memory_tokens;
    return sum->tokens + in->work->prompt_tokens + in->work->output_tokens > usable_tokens ? _CW_OVERFLOW_COST_MS : 0;
}

/* Cost, ms, of a generation at the server. The backlog of all urgencies counts, since a more urgent prompt delays the
   less urgent ones that it overtakes. */
static double _cw_cost_generation_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum,
                                     cw_choice_t* c) {
    c->cached_tokens = cw_server_cached_tokens(in->prefix_cache, s, in->work);
    c->fetched_tokens = cw_server_fetched_tokens(s, in->prefix, c->cached_tokens, in->learning->prefill.ms_per_token);
    c->fetch_source = c->fetched_tokens ? in->prefix->best_server : 0;
    c->recomputed_tokens = c->fetched_tokens || in->prefix->best_tokens < c->cached_tokens
                               ? 0
                               : in->prefix->best_tokens - c->cached_tokens;
    c->streaming = sum->streaming;
    c->gap_forecast_ms = cw_gap_forecast_ms(&s->gap_forecast, &in->forecast->gaps, in->now_ms);
    double pace_ms = in->forecast->is_shared ? sum->pace_ms : in->learning->prefill.ms_per_token;
    c->prefill_ms = pace_ms * (in->work->prompt_tokens - c->cached_tokens - c->fetched_tokens) +
                    s->spec.fetch_ms_per_token * c->fetched_tokens;
    double ms = in->learning->prefill.base_ms + sum->backlog_ms + c->prefill_ms;
    ms += _cw_cost_recompute_ms(in, s, c);
    ms += _cw_cost_cache_miss_ms(in, s, c->cached_tokens);
    ms += _cw_cost_overflow_ms(in, s, sum);
    ms += _CW_RUN_COST_MS * sum->running;
    ms += _cw_cost_caused_stall_ms(in, s, sum, c->prefill_ms);
    ms += _cw_cost_own_stall_ms(in, s, sum);
    ms += _cw_cost_gap_ms(in, c);
    return ms + _cw_cost_consolidation_ms(in, s, sum);
}

/* Cost, ms, of a server in another hall. */
static double _cw_cost_hall_ms(const cw_cost_input_t* in, const cw_pool_server_t* s) {
    return s->spec.hall == in->hall ? 0 : _CW_OTHER_HALL_COST_MS;
}

/* Cost, ms, of opening a connection where no idle one exists. */
static double _cw_cost_connection_ms(const cw_pool_server_t* s) {
    return s->has_idle_connection ? 0 : _CW_CONNECT_COST_MS;
}

/* Different in each host, so that hosts do not all choose the same one of equal servers. Where the hosts share their
   samples, they also share their errors, so servers count as equal within the error of the forecast: with 81 hosts, 140
   equal engines and 90 % of the slots in use, 391 requests were sent for a slot that another host had just used with a
   width of 1 ms, 141 with this one. */
static double _cw_cost_tie_break_ms(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_choice_t* c) {
    bool is_shared = s->spec.memory_tokens && in->forecast->is_shared;
    double width_ms = is_shared ? _CW_FORECAST_ERROR_SHARE * c->first_event_ms : 1;
    return width_ms * (double)(cw_mix(in->seed, s->spec.id) & 1023U) / 1024.0;
}

cw_choice_t cw_server_evaluate(const cw_cost_input_t* in, const cw_pool_server_t* s, const cw_total_load_t* sum) {
    cw_choice_t c = {.id = s->spec.id, .wait_ms = sum->wait_ms, .running = sum->running, .age_ms = sum->age_ms};
    bool is_engine = s->spec.memory_tokens > 0;
    double ms = is_engine ? _cw_cost_generation_ms(in, s, sum, &c) : _cw_cost_call_ms(in, s, sum);
    double cold_factor = in->now_ms < s->cold_until_ms ? 2 : 1;
    /* The shared forecast has the speed of the engine in its times. */
    double slowdown = is_engine && in->forecast->is_shared ? 1 : cw_server_slowdown(s, in->now_ms);
    c.cost_ms = ms * cold_factor * slowdown + _cw_cost_failure_ms(in, s);
    c.cost_ms += _cw_cost_hall_ms(in, s);
    c.cost_ms += _cw_cost_connection_ms(s);
    c.interval_ratio = cw_server_speed_ratio(in->forecast, in->learning, s, sum->pace_ms);
    c.pace_ms = is_engine ? sum->pace_ms : 0;
    c.first_event_ms = c.wait_ms + c.prefill_ms + (in->forecast->is_shared ? in->learning->prefill.base_ms : 0);
    c.gap_forecast_ms = cw_gap_forecast_ms(&s->gap_forecast, &in->forecast->gaps, in->now_ms);
    c.cost_ms += _cw_cost_tie_break_ms(in, s, &c);
    return c;
}

#endif /* CHALKWAY_SERVER_COST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
