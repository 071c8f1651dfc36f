/*
    Servers that fail when they have to reject more than a few requests in a second.

    The tests with many hosts simulate them on one clock: each host decides with its own balancer and hears of the
   others' load after a delay; a server runs requests in its slots, queues fewer than its callers know, and rejects the
   rest.
*/
#include <string.h>

#include "../chalkway_balance.h"
#include "../chalkway_load.h"
#include "test.h"

#define HOSTS_MAX 96
#define SERVERS 4
#define SLOTS 6
#define LIMIT_PER_S 3
#define HIDDEN_QUEUE 1
#define RUN_MS 60
#define RUNS_MAX 4096
#define WAITING_MAX 64
#define REPORTS_MAX 65536
#define DOWN_MS 3000
#define RESPONSE_MS 2 /* from a server to a host */

typedef enum stage_t { FREE = 0, QUEUED, RUNNING, REJECTED } stage_t;

typedef struct request_t {
    stage_t stage;
    uint32_t host, server;
    int64_t until_ms;
    cw_run_t run;
} request_t;

typedef struct server_model_t {
    uint64_t id;
    uint32_t running, queued, falls;
    int64_t rejected_ms[LIMIT_PER_S + 1];
    uint32_t rejected;
    int64_t down_until_ms;
} server_model_t;

typedef struct report_t {
    int64_t at_ms;
    uint32_t host, server;
    cw_load_t load;
} report_t;

typedef struct sim_t {
    uint32_t hosts;
    uint32_t delay_ms; /* of reports between hosts */
    bool advertises;   /* the servers announce their limit */
    double per_s;      /* arrivals at all hosts */
    uint64_t ids[HOSTS_MAX];
    cw_balance_t* balance[HOSTS_MAX];
    uint32_t waiting[HOSTS_MAX];
    server_model_t servers[SERVERS];
    request_t requests[RUNS_MAX];
    report_t reports[REPORTS_MAX];
    uint32_t first_report, report_count;
    rng_t rng;
    int64_t now_ms;
    uint32_t arrived, served, rejected, dropped;
} sim_t;

static const cw_work_t work = {.urgency = 5, .target_ms = 300};

static void sim_setup(sim_t* m) {
    cw_server_spec_t specs[SERVERS];
    m->rng.state = 7;
    m->now_ms = 1000;
    for (uint32_t i = 0; i < SERVERS; i++) {
        m->servers[i].id = 100 + i;
        specs[i] = (cw_server_spec_t){.id = 100 + i, .slots = SLOTS};
    }
    for (uint32_t i = 0; i < m->hosts; i++) {
        m->ids[i] = cw_mix(3, i + 1);
    }
    cw_fleet_t fleet = {
        .ids = m->ids, .count = m->hosts, .propagation_ms = m->delay_ms, .direct_propagation_ms = m->delay_ms};
    for (uint32_t i = 0; i < m->hosts; i++) {
        m->balance[i] = cw_balance_setup(&(cw_balance_desc_t){.seed = m->ids[i], .max_servers = SERVERS});
        cw_balance_set_fleet(m->balance[i], m->now_ms, &fleet);
        cw_balance_set_servers(m->balance[i], m->now_ms, specs, SERVERS);
    }
}

static void sim_shutdown(sim_t* m) {
    for (uint32_t i = 0; i < m->hosts; i++) {
        cw_balance_shutdown(m->balance[i]);
    }
    free(m);
}

static void report(sim_t* m, uint32_t host, uint32_t server) {
    uint32_t at = cw_balance_find(m->balance[host], m->servers[server].id);
    m->reports[(m->first_report + m->report_count++) % REPORTS_MAX] =
        (report_t){.at_ms = m->now_ms + m->delay_ms,
                   .host = host,
                   .server = server,
                   .load = cw_balance_own_load(m->balance[host], m->now_ms, at)};
    ck_assert_uint_le(m->report_count, REPORTS_MAX);
}

static void deliver_reports(sim_t* m) {
    for (; m->report_count && m->reports[m->first_report].at_ms <= m->now_ms; m->report_count--) {
        const report_t* r = &m->reports[m->first_report];
        for (uint32_t i = 0; i < m->hosts; i++) {
            if (i != r->host) {
                cw_balance_on_peer_load(m->balance[i], m->now_ms, m->ids[r->host], m->servers[r->server].id, &r->load);
            }
        }
        m->first_report = (m->first_report + 1) % REPORTS_MAX;
    }
}

/* Counts a rejection; with more than the limit in a second the server falls over. */
static void reject(sim_t* m, server_model_t* s) {
    int64_t* oldest = &s->rejected_ms[s->rejected++ % (LIMIT_PER_S + 1)];
    m->rejected++;
    if (*oldest && m->now_ms - *oldest < 1000) {
        s->falls++;
        s->down_until_ms = m->now_ms + DOWN_MS;
        memset(s->rejected_ms, 0, sizeof(s->rejected_ms));
        return;
    }
    *oldest = m->now_ms;
}

static void end_request(sim_t* m, request_t* x, cw_try_result_t result) {
    cw_balance_t* b = m->balance[x->host];
    int64_t sent_ms = x->run.begun_ms;
    if (result != CW_TRY_UNREACHABLE) {
        cw_balance_on_reject_limit(b, m->now_ms, m->servers[x->server].id, sent_ms, m->advertises ? LIMIT_PER_S : -1);
    }
    cw_balance_end(b, m->now_ms, &x->run, result);

    report(m, x->host, x->server);
    m->served += result == CW_TRY_SERVED;
    m->waiting[x->host] += result != CW_TRY_SERVED;
    x->stage = FREE;
}

static void arrive_at_server(sim_t* m, request_t* x) {
    server_model_t* s = &m->servers[x->server];
    if (m->now_ms < s->down_until_ms) {
        end_request(m, x, CW_TRY_UNREACHABLE);
    } else if (s->running < SLOTS) {
        s->running++;
        x->stage = RUNNING;
        x->until_ms = m->now_ms + RUN_MS / 2 + (int64_t)rng_below(&m->rng, RUN_MS);
    } else if (s->queued < HIDDEN_QUEUE) {
        s->queued++;
        x->stage = QUEUED;
    } else {
        reject(m, s);
        x->stage = REJECTED;
        x->until_ms = m->now_ms + RESPONSE_MS;
    }
}

static bool send_one(sim_t* m, uint32_t host) {
    cw_choice_t c = cw_balance_choose(m->balance[host], m->now_ms, &work, NULL, 0);
    if (c.server == CW_BALANCE_NONE) {
        return false;
    }
    request_t* x = m->requests;
    while (x->stage != FREE) {
        x++;
    }
    x->host = host;
    x->run = cw_balance_begin(m->balance[host], m->now_ms, c.server, &work);
    x->server = (uint32_t)(x->run.id - m->servers[0].id);
    m->waiting[host]--;
    report(m, host, x->server);
    arrive_at_server(m, x);
    return true;
}

static void run_servers(sim_t* m) {
    for (uint32_t i = 0; i < RUNS_MAX; i++) {
        request_t* x = &m->requests[i];
        server_model_t* s = &m->servers[x->server];
        bool is_lost = x->stage != FREE && x->stage != REJECTED && m->now_ms < s->down_until_ms;
        if (is_lost || (x->stage == RUNNING && m->now_ms >= x->until_ms)) {
            s->running -= x->stage == RUNNING;
            s->queued -= x->stage == QUEUED;
            end_request(m, x, is_lost ? CW_TRY_BROKEN : CW_TRY_SERVED);
        } else if (x->stage == REJECTED && m->now_ms >= x->until_ms) {
            end_request(m, x, CW_TRY_FULL);
        } else if (x->stage == QUEUED && s->running < SLOTS) {
            s->queued--;
            s->running++;
            x->stage = RUNNING;
            x->until_ms = m->now_ms + RUN_MS;
        }
    }
}

static void probe(sim_t* m, uint32_t host) {
    uint64_t id = cw_balance_next_probe(m->balance[host], m->now_ms);
    if (id && m->now_ms >= m->servers[id - m->servers[0].id].down_until_ms) {
        cw_balance_set_unreachable(m->balance[host], m->now_ms, id, false);
    }
}

static void sim_run(sim_t* m, int64_t ms) {
    for (int64_t end_ms = m->now_ms + ms; m->now_ms < end_ms; m->now_ms++) {
        deliver_reports(m);
        run_servers(m);
        for (uint32_t i = 0; i < m->hosts; i++) {
            probe(m, i);
            bool arrives = (double)rng_below(&m->rng, 1000000) < m->per_s / m->hosts * 1000;
            m->arrived += arrives;
            m->waiting[i] += arrives;
            if (arrives) {
                cw_balance_on_request(m->balance[i], m->now_ms, &work);
            }
            while (m->waiting[i] && send_one(m, i)) {
            }
            cw_balance_set_waiting(m->balance[i], m->now_ms, work.urgency, m->waiting[i]);
            m->dropped += m->waiting[i] > WAITING_MAX ? m->waiting[i] - WAITING_MAX : 0;
            m->waiting[i] = m->waiting[i] > WAITING_MAX ? WAITING_MAX : m->waiting[i];
        }
    }
}

static uint32_t falls(const sim_t* m) {
    uint32_t sum = 0;
    for (uint32_t i = 0; i < SERVERS; i++) {
        sum += m->servers[i].falls;
    }
    return sum;
}

static sim_t* burst(uint32_t hosts, uint32_t delay_ms, bool advertises) {
    sim_t* m = calloc(1, sizeof(*m));
    m->hosts = hosts;
    m->delay_ms = delay_ms;
    m->advertises = advertises;
    sim_setup(m);
    m->per_s = 100;
    sim_run(m, 3000); /* callers learn of the limit */
    m->per_s = 1000;  /* two and a half times what the servers can run */
    sim_run(m, 10000);
    return m;
}

/* Guards against servers that all fall over in a burst. At most 2 + a tenth of their number may. */
START_TEST(servers_survive_a_burst_when_they_advertise_their_limit) {
    static const struct { uint32_t hosts, delay_ms; } fleets[] = {{1, 0}, {3, 2}, {8, 3}, {16, 5}, {81, 20}};
    for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
        sim_t* m = burst(fleets[i].hosts, fleets[i].delay_ms, true);
        ck_assert_msg(falls(m) <= 2, "%u hosts: %u falls, %u rejections", m->hosts, falls(m), m->rejected);
        ck_assert_msg(m->served > 0.5 * 400 * 10, "%u hosts: served %u, %u falls, %u rejections", m->hosts, m->served,
                      falls(m), m->rejected);
        sim_shutdown(m);
    }
}
END_TEST

/* The simulation is sensitive: without the announcement the same burst fells servers again and again. */
START_TEST(servers_that_advertise_nothing_fall_over_in_the_same_burst) {
    sim_t* m = burst(8, 3, false);
    ck_assert_uint_gt(falls(m), 4);
    sim_shutdown(m);
}
END_TEST

START_TEST(a_limit_ends_with_a_later_response_without_it) {
    cw_reject_limit_t l = {0};
    ck_assert(cw_reject_limit_on_advertised(&l, 1000, 4));
    ck_assert(!cw_reject_limit_on_advertised(&l, 1010, 4));
    ck_assert(cw_reject_limit_on_advertised(&l, 1020, 5));
    ck_assert(!cw_reject_limit_on_absent(&l, 900, 1030)); /* to a request that was sent before */
    ck_assert(cw_reject_limit_is_active(&l, 1030));
    ck_assert(cw_reject_limit_on_absent(&l, 1025, 1040));
    ck_assert(!cw_reject_limit_is_active(&l, 1040));
    ck_assert(!cw_reject_limit_on_peer(&l, 1015, 5)); /* another host's older observation */
    ck_assert(cw_reject_limit_on_peer(&l, 1100, 5));
    ck_assert(cw_reject_limit_is_active(&l, 1100 + CW_REJECT_LIMIT_EXPIRY_MS));
    ck_assert(!cw_reject_limit_is_active(&l, 1101 + CW_REJECT_LIMIT_EXPIRY_MS));
}
END_TEST

START_TEST(half_of_the_limit_is_used_knowingly) {
    cw_reject_limit_t l = {0};
    cw_reject_limit_on_advertised(&l, 1000, 4);
    ck_assert(!cw_reject_limit_is_used_up(&l, 1000, 0));
    cw_reject_limit_on_rejected(&l, 1000);
    ck_assert(!cw_reject_limit_is_used_up(&l, 1000, 0));
    ck_assert(cw_reject_limit_is_used_up(&l, 1000, 1)); /* one at another host */
    cw_reject_limit_on_rejected(&l, 1500);
    ck_assert(cw_reject_limit_is_used_up(&l, 1999, 0));
    ck_assert(!cw_reject_limit_is_used_up(&l, 2000, 0));
    cw_reject_limit_t none = {0};
    cw_reject_limit_on_advertised(&none, 1000, 0);
    ck_assert(!cw_reject_limit_is_used_up(&none, 1000, 0)); /* free slots may still be used */
    cw_reject_limit_on_rejected(&none, 1000);
    ck_assert(cw_reject_limit_is_used_up(&none, 1000, 0));
}
END_TEST

/* Guards against a high limit that one host could never use up, since it remembers only so many of its rejections. */
START_TEST(a_host_stops_at_the_rejections_that_it_remembers) {
    cw_reject_limit_t l = {0};
    cw_reject_limit_on_advertised(&l, 1000, 100);
    for (uint32_t i = 0; i < CW_REJECT_LIMIT_REMEMBERED; i++) {
        ck_assert(!cw_reject_limit_is_used_up(&l, 1000, 0));
        cw_reject_limit_on_rejected(&l, 1000);
    }
    ck_assert(cw_reject_limit_is_used_up(&l, 1000, 0));
    ck_assert(!cw_reject_limit_is_used_up(&l, 2000, 0));
}
END_TEST

/* One server that advertises a limit stands for its pool, until the others respond without one. */
START_TEST(a_limit_holds_for_servers_of_the_pool_that_have_not_responded) {
    sim_t* m = calloc(1, sizeof(*m));
    m->hosts = 1;
    sim_setup(m);
    cw_balance_t* b = m->balance[0];
    ck_assert(!cw_balance_has_reject_limit(b, 1000, 100));
    ck_assert(cw_balance_on_reject_limit(b, 1000, 100, 990, 3));
    ck_assert(cw_balance_has_reject_limit(b, 1000, 100) && cw_balance_has_reject_limit(b, 1000, 101));
    cw_balance_on_reject_limit(b, 1010, 101, 1005, -1);
    ck_assert(cw_balance_has_reject_limit(b, 1010, 100));
    ck_assert(!cw_balance_has_reject_limit(b, 1010, 101));
    sim_shutdown(m);
}
END_TEST

START_TEST(load_reports_carry_the_limit_and_the_rejections) {
    static cw_load_message_t out, in;
    uint8_t bytes[CW_LOAD_BYTES];
    out = (cw_load_message_t){.cluster = 1, .host = 2, .count = 2};
    out.entries[0] = (cw_load_entry_t){.host = 2, .server = 7, .part_count = 1, .parts = {{.id = 9, .tokens = 4}}};
    out.entries[0].load = (cw_load_t){
        .running = 3, .has_reject_limit = true, .reject_limit_per_s = 5, .reject_limit_ago_ms = 40, .rejections = 2};
    out.entries[0].load.rate = CW_RATE_ADVERTISED;
    out.entries[0].load.rate_per_ks = 2500;
    out.entries[1] = (cw_load_entry_t){.host = 2, .server = 8, .load = {.running = 1}};
    size_t size = cw_load_encode(&out, bytes, sizeof(bytes));
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_OK);
    const cw_load_t* load = &in.entries[0].load;
    ck_assert(load->has_reject_limit && load->reject_limit_per_s == 5 && load->reject_limit_ago_ms == 40);
    ck_assert(load->rejections == 2 && load->running == 3 && load->rate_per_ks == 2500);
    ck_assert(in.entries[0].part_count == 1 && in.entries[0].parts[0].id == 9);
    ck_assert(!in.entries[1].load.has_reject_limit && in.entries[1].load.running == 1);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, servers_survive_a_burst_when_they_advertise_their_limit);
    tcase_add_test(t, servers_that_advertise_nothing_fall_over_in_the_same_burst);
    tcase_add_test(t, a_limit_ends_with_a_later_response_without_it);
    tcase_add_test(t, half_of_the_limit_is_used_knowingly);
    tcase_add_test(t, a_host_stops_at_the_rejections_that_it_remembers);
    tcase_add_test(t, a_limit_holds_for_servers_of_the_pool_that_have_not_responded);
    tcase_add_test(t, load_reports_carry_the_limit_and_the_rejections);
}

int main(void) {
    return run_suite("reject-limit", add_tests, 120);
}
