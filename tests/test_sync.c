/* Configuration and list of servers from a source that fails in different ways, and from peers with newer documents. */
#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../chalkway_changes.h"
#include "../gateway/clock.h"
#include "../gateway/sync.h"
#include "../io/address.h"
#include "../io/httpd.h"
#include "../platform/platform.h"
#include "platform_entries.h"
#include "test.h"

#define TICK_S 0.005
#define TIMEOUT_S 10.0

typedef enum source_mode_t { SOURCE_RESPONDS, SOURCE_HANGS, SOURCE_FAILS, SOURCE_SENDS_GARBAGE } source_mode_t;

/* A source, one daemon's sync with it, and what the sync reported. The source publishes a configuration and a list of
   servers in the native form, unless noted otherwise. */
typedef struct fixture_t {
    struct ev_loop* loop;
    cw_log_t log;
    cw_httpd_t* source;
    source_mode_t mode;
    int64_t revision;            /* revision of the source's configuration */
    int64_t epoch;               /* epoch of the source, 0: its responses name none */
    const char* malformed_epoch; /* text that responses name instead of the epoch */
    const char* extra;           /* text added to the configuration */
    bool leaving;                /* whether the source's only server is leaving */
    uint32_t calls;
    bool has_no_history;  /* responds to polls for changes with 410 */
    bool sends_no_events; /* returns no changes, not even heartbeats */
    const char* delta;    /* returned, as a peer, to a daemon that asks for changes; NULL: the full list is returned */
    uint32_t delta_calls;
    uint32_t first_page_calls; /* calls for the first of three pages */
    bool fails_second_page;    /* rejects one call for the second page */
    uint32_t failed_pages;
    uint32_t change_calls;       /* polls for changes */
    uint32_t change_calls_until; /* number of polls for changes to wait for */
    const char* change;          /* event that each poll for changes returns, "" none */
    sync_t* sync;
    int64_t revisions[16]; /* revisions that were applied, in this order */
    uint32_t revision_count;
    uint32_t list_count; /* lists applied */
    uint32_t resets;     /* times that the revisions went back */
    bool is_server_listed_leaving;
    bool is_hall_listed_closed;      /* hall "a" is closed in the list */
    bool closes_hall_a;              /* the source has it closed */
    bool after_outage;               /* flag that was reported with the list applied last */
    int64_t list_at, entry_revision; /* of the native list, default 1 and unknown */
    bool has_history;                /* it was read */
    source_coverage_t coverage;      /* of the history */
    char log_text[8192];
    ev_timer tick, timeout;
    bool (*condition)(struct fixture_t* fixture);
} fixture_t;

/* A response of the source, with its epoch. */
static void reply(cw_exchange_t* x, const fixture_t* fixture, unsigned status, const char* body) {
    char epoch[24];
    snprintf(epoch, sizeof(epoch), "%lld", (long long)fixture->epoch);
    cw_header_t header = {"Store-Era", fixture->malformed_epoch ? fixture->malformed_epoch : epoch};
    cw_exchange_reply(x, status, &header, fixture->epoch ? 1 : 0, body, strlen(body));
}

/* Returns changes in the platform's form. */
static void on_changes(cw_exchange_t* x, fixture_t* fixture) {
    char body[512];
    fixture->change_calls++;
    if (fixture->has_no_history) {
        reply(x, fixture, 410, "");
        return;
    }
    unsigned at = fixture->change_calls + 1;
    snprintf(body, sizeof(body), "{\"events\":[%s%s{\"tls_key\":\"other\",\"revision\":%u}],\"at\":%u}",
             fixture->change ? fixture->change : "", fixture->change ? "," : "", at, at);
    if (fixture->sends_no_events) {
        snprintf(body, sizeof(body), "{\"events\":[],\"at\":%u}", at);
    }
    reply(x, fixture, 200, body);
}

/* Returns one of three pages, each with one server, in the platform's form. */
static void on_page(cw_exchange_t* x, fixture_t* fixture) {
    const char* after = cw_exchange_arg(x, "after");
    unsigned page = after ? (unsigned)(after[strlen(after) - 1] - '0') + 1 : 0;
    char body[512];
    fixture->first_page_calls += page == 0;
    if (page == 1 && fixture->fails_second_page && !fixture->failed_pages) {
        fixture->failed_pages++;
        reply(x, fixture, 429, "");
        return;
    }
    snprintf(body, sizeof(body), "{\"items\":[{\"tls_key\":\"servers/i%u\",\"value\":\"%s\"}],\"more\":%s,\"at\":1}",
             page, fixture->leaving ? DRAINING_ENTRY_BASE64 : READY_ENTRY_BASE64, page < 2 ? "true" : "false");
    reply(x, fixture, 200, body);
}

static void on_source(cw_exchange_t* x, void* user) {
    fixture_t* fixture = user;
    char body[512];
    fixture->calls++;
    if (fixture->mode == SOURCE_HANGS) {
        return;
    }
    if (fixture->mode == SOURCE_FAILS) {
        reply(x, fixture, 503, "");
        return;
    }
    if (fixture->mode == SOURCE_SENDS_GARBAGE) {
        reply(x, fixture, 200, "{\"revision\":");
        return;
    }
    if (cw_exchange_arg(x, "since") && fixture->delta) {
        fixture->delta_calls++;
        reply(x, fixture, 200, fixture->delta);
        return;
    }
    const char* prefix = cw_exchange_arg(x, "path_prefix");
    if (prefix && strcmp(prefix, "op/evacuate/") == 0) {
        snprintf(body, sizeof(body), "{\"items\":[%s],\"at\":%u}",
                 fixture->closes_hall_a ? "{\"tls_key\":\"op/evacuate/a\"}" : "", fixture->calls);
        reply(x, fixture, 200, body);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/kv-range") == 0) {
        on_page(x, fixture);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/kv-watch") == 0) {
        on_changes(x, fixture);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/catalog") == 0) {
        snprintf(body, sizeof(body), "{\"revision\":%lld,\"routes\":[],\"pools\":[]%s}", (long long)fixture->revision,
                 fixture->extra ? fixture->extra : "");
    } else {
        snprintf(body, sizeof(body),
                 "{\"at\":%lld,\"servers\":[{\"id\":\"i\",\"address\":\"127.0.0.1:9\",\"pool\":\"p\",\"hall\":\"a\","
                 "\"slots\":1,\"leaving\":%s,\"revision\":%lld}]}",
                 (long long)(fixture->list_at ? fixture->list_at : 1), fixture->leaving ? "true" : "false",
                 (long long)fixture->entry_revision);
    }
    reply(x, fixture, 200, body);
}

static void on_catalog(void* user, cw_catalog_t* catalog) {
    fixture_t* fixture = user;
    fixture->revisions[fixture->revision_count++ % 16] = catalog->revision;
}

static void on_servers(void* user, const cw_servers_t* list, bool after_outage) {
    fixture_t* fixture = user;
    fixture->list_count++;
    fixture->after_outage = after_outage;
    fixture->is_server_listed_leaving = list->items[0].leaving;
    fixture->is_hall_listed_closed = cw_closed_halls_contains(&list->closed, "a");
}

static void on_history(void* user, const cw_servers_t* entries, source_coverage_t coverage) {
    fixture_t* fixture = user;
    (void)entries;
    fixture->has_history = true;
    fixture->coverage = coverage;
}

static void on_revisions_reset(void* user) {
    ((fixture_t*)user)->resets++;
}

static void write_line(const char* line, void* user) {
    fixture_t* fixture = user;
    size_t used = strlen(fixture->log_text);
    snprintf(fixture->log_text + used, sizeof(fixture->log_text) - used, "%s\n", line);
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    fixture_t* fixture = w->data;
    sync_tick(fixture->sync, clock_ms());
    if (fixture->condition(fixture)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void on_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    ck_abort_msg("timed out; calls %u, log:\n%s", ((fixture_t*)w->data)->calls, ((fixture_t*)w->data)->log_text);
}

static void run_until(fixture_t* fixture, bool (*condition)(fixture_t* fixture)) {
    fixture->condition = condition;
    ev_timer_stop(fixture->loop, &fixture->timeout);
    ev_timer_set(&fixture->timeout, TIMEOUT_S, 0.0);
    ev_timer_start(fixture->loop, &fixture->timeout);
    ev_run(fixture->loop, 0);
}

static source_t custom_source;

static fixture_t* fixture_setup_source(int64_t revision, const source_t* source) {
    fixture_t* fixture = calloc(1, sizeof(*fixture));
    cw_error_t err = {0};
    fixture->loop = ev_loop_new(0);
    fixture->log = (cw_log_t){.level = CW_LOG_DEBUG, .write = write_line, .user_data = fixture};
    fixture->revision = revision;
    fixture->source = cw_httpd_setup(
        &(cw_httpd_desc_t){
            .loop = fixture->loop, .address = "127.0.0.1:0", .on_request = on_source, .user_data = fixture},
        &err);
    ck_assert_msg(fixture->source != NULL, "%s", err.message);
    fixture->sync = sync_setup(&(sync_desc_t){.loop = fixture->loop,
                                              .log = &fixture->log,
                                              .source = source,
                                              .address = cw_httpd_address(fixture->source),
                                              .share = "127.0.0.1:0",
                                              .poll_age_ms = 30,
                                              .closed_poll_age_ms = source->closed_path ? 1 : 0,
                                              .on_catalog = on_catalog,
                                              .on_servers = on_servers,
                                              .on_revisions_reset = on_revisions_reset,
                                              .on_history = on_history,
                                              .user_data = fixture},
                               &err);
    ck_assert_msg(fixture->sync != NULL, "%s", err.message);
    ev_timer_init(&fixture->tick, on_tick, TICK_S, TICK_S);
    ev_timer_init(&fixture->timeout, on_timeout, TIMEOUT_S, 0.0);
    fixture->tick.data = fixture->timeout.data = fixture;
    ev_timer_start(fixture->loop, &fixture->tick);
    return fixture;
}

static fixture_t* fixture_setup(int64_t revision) {
    return fixture_setup_source(revision, &source_native);
}

/* A source that returns its list in pages, and its changes. */
static fixture_t* fixture_setup_with_changes(void) {
    custom_source = source_native;
    custom_source.servers_path = platform_source.servers_path;
    custom_source.read_servers = platform_source.read_servers;
    custom_source.changes_path = platform_source.changes_path;
    custom_source.epoch_field = platform_source.epoch_field;
    custom_source.read_changes = platform_source.read_changes;
    return fixture_setup_source(5, &custom_source);
}

static void fixture_shutdown(fixture_t* fixture) {
    sync_shutdown(fixture->sync);
    cw_httpd_shutdown(fixture->source);
    ev_timer_stop(fixture->loop, &fixture->tick);
    ev_timer_stop(fixture->loop, &fixture->timeout);
    ev_loop_destroy(fixture->loop);
    free(fixture);
}

static bool is_ready(fixture_t* fixture) {
    return sync_is_ready(fixture->sync);
}

static bool has_history(fixture_t* fixture) {
    sync_read_history(fixture->sync, 0);
    return fixture->has_history;
}

static bool has_revision_9(fixture_t* fixture) {
    return sync_revision(fixture->sync) == 9;
}

static bool is_server_leaving(fixture_t* fixture) {
    return fixture->is_server_listed_leaving;
}

static bool is_server_staying(fixture_t* fixture) {
    return !fixture->is_server_listed_leaving;
}

static bool is_source_unavailable(fixture_t* fixture) {
    return sync_stats(fixture->sync).is_source_unavailable;
}

static bool is_list_outdated(fixture_t* fixture) {
    return sync_stats(fixture->sync).servers_age_ms > 2100;
}

static bool is_hall_closed(fixture_t* fixture) {
    return fixture->is_hall_listed_closed;
}

static bool is_hall_open(fixture_t* fixture) {
    return !fixture->is_hall_listed_closed;
}

static bool polled_changes_4_times(fixture_t* fixture) {
    return fixture->change_calls >= 4;
}

static bool polled_changes_or_leaving(fixture_t* fixture) {
    return fixture->change_calls >= fixture->change_calls_until || fixture->is_server_listed_leaving;
}

static bool next_tick(fixture_t* fixture) {
    (void)fixture;
    return true;
}

static bool polled_full_list_twice(fixture_t* fixture) {
    return fixture->first_page_calls >= 2;
}

static bool fetched_delta(fixture_t* fixture) {
    return fixture->delta_calls > 0;
}

static bool called_6_times(fixture_t* fixture) {
    return fixture->calls >= 6;
}

START_TEST(changes_at_the_source_are_applied) {
    fixture_t* fixture = fixture_setup(5);
    run_until(fixture, is_ready);
    ck_assert_int_eq(sync_revision(fixture->sync), 5);
    fixture->revision = 9;
    fixture->leaving = true;
    run_until(fixture, has_revision_9);
    run_until(fixture, is_server_leaving);
    fixture_shutdown(fixture);
}
END_TEST

/* Guards against a source that seems to have no changes: a connection that is cut silently gets no response, and later
   changes must be seen all the same. */
START_TEST(a_call_without_response_does_not_block_later_polls) {
    fixture_t* fixture = fixture_setup(5);
    run_until(fixture, is_ready);
    fixture->mode = SOURCE_HANGS;
    fixture->calls = 0;
    run_until(fixture, is_source_unavailable);
    fixture->mode = SOURCE_RESPONDS;
    fixture->revision = 9;
    run_until(fixture, has_revision_9);
    ck_assert(strstr(fixture->log_text, "source-lost") && strstr(fixture->log_text, "source-back"));
    fixture_shutdown(fixture);
}
END_TEST

/* The source is unavailable for longer than entries live. The next list is flagged, so that entries that expired
   meanwhile are not taken for servers that were removed. */
START_TEST(a_list_after_an_outage_is_flagged) {
    fixture_t* fixture = fixture_setup(5);
    run_until(fixture, is_ready);
    ck_assert(!fixture->after_outage);
    fixture->mode = SOURCE_FAILS;
    run_until(fixture, is_list_outdated);
    fixture->mode = SOURCE_RESPONDS;
    fixture->leaving = true;
    run_until(fixture, is_server_leaving);
    ck_assert(fixture->after_outage);
    uint32_t list_count = fixture->list_count;
    fixture->calls = 0;
    run_until(fixture, called_6_times);
    ck_assert_uint_eq(fixture->list_count, list_count); /* the same list is not reported again */
    fixture->leaving = false;
    run_until(fixture, is_server_staying);
    ck_assert_uint_eq(fixture->list_count, list_count + 1);
    ck_assert(!fixture->after_outage); /* an ordinary change */
    fixture_shutdown(fixture);
}
END_TEST

/* After the full list only changes are polled. */
START_TEST(changes_are_applied_to_the_list) {
    fixture_t* fixture = fixture_setup_with_changes();
    run_until(fixture, polled_changes_4_times);
    ck_assert_uint_eq(fixture->first_page_calls, 1);
    ck_assert_uint_eq(fixture->list_count, 1); /* none of the responses changed the list */
    fixture->change = "{\"tls_key\":\"servers/i0\",\"value\":\"" DRAINING_ENTRY_BASE64 "\",\"revision\":3}";
    run_until(fixture, is_server_leaving);
    ck_assert_uint_eq(fixture->first_page_calls, 1);
    ck_assert_uint_eq(fixture->list_count, 2);
    fixture_shutdown(fixture);
}
END_TEST

START_TEST(a_source_without_history_is_polled_for_the_full_list) {
    fixture_t* fixture = fixture_setup_with_changes();
    run_until(fixture, polled_changes_4_times);
    fixture->has_no_history = true;
    fixture->leaving = true;
    run_until(fixture, is_server_leaving);
    ck_assert_uint_ge(fixture->first_page_calls, 2);
    ck_assert(!sync_stats(fixture->sync).is_source_unavailable);
    fixture_shutdown(fixture);
}
END_TEST

/* Guards against a source that has forgotten a removal and is taken for one in which nothing has changed: engines that
   left were taken for engines that never were. The newest revision is that of an entry or of the configuration, or of
   what was removed. */
START_TEST(a_forgotten_removal_is_not_taken_for_no_change) {
    static const struct {
        int64_t list_at, entry_revision, catalog_revision;
        source_coverage_t coverage;
    } cases[] = {{9, 9, 5, SOURCE_HISTORY_RETAINED},
                 {9, 7, 9, SOURCE_HISTORY_RETAINED},
                 {9, 8, 7, SOURCE_HISTORY_NONE},
                 {9, 0, 5, SOURCE_HISTORY_NONE}};
    custom_source = source_native;
    custom_source.history_path = platform_source.history_path;
    custom_source.read_history = platform_source.read_history;
    fixture_t* fixture = fixture_setup_source(cases[_i].catalog_revision, &custom_source);
    fixture->list_at = cases[_i].list_at;
    fixture->entry_revision = cases[_i].entry_revision;
    fixture->has_no_history = true;
    run_until(fixture, is_ready);
    run_until(fixture, has_history);
    ck_assert_int_eq(fixture->coverage, cases[_i].coverage);
    fixture_shutdown(fixture);
}
END_TEST

/* The source delivers no events for a while. A server that leaves meanwhile is seen in the full list. */
START_TEST(a_response_without_events_leads_to_the_full_list) {
    fixture_t* fixture = fixture_setup_with_changes();
    run_until(fixture, polled_changes_4_times);
    fixture->sends_no_events = true;
    fixture->leaving = true;
    run_until(fixture, is_server_leaving);
    ck_assert_uint_ge(fixture->first_page_calls, 2);
    fixture_shutdown(fixture);
}
END_TEST

/* A list that fits one page is polled in full, since this costs one call, as a poll for its changes would. */
START_TEST(a_list_of_one_page_is_polled_in_full) {
    custom_source = source_native;
    custom_source.changes_path = platform_source.changes_path;
    custom_source.epoch_field = platform_source.epoch_field;
    custom_source.read_changes = platform_source.read_changes;
    fixture_t* fixture = fixture_setup_source(5, &custom_source);
    run_until(fixture, is_ready);
    fixture->calls = 0;
    run_until(fixture, called_6_times);
    ck_assert_uint_eq(fixture->change_calls, 0);
    fixture_shutdown(fixture);
}
END_TEST

START_TEST(invalid_changes_lead_to_the_full_list) {
    fixture_t* fixture = fixture_setup_with_changes();
    run_until(fixture, polled_changes_4_times);
    fixture->change = "7],\"at\":{},\"other\":[";
    run_until(fixture, polled_full_list_twice);
    ck_assert_uint_eq(fixture->list_count, 1);
    ck_assert(sync_is_ready(fixture->sync));
    fixture_shutdown(fixture);
}
END_TEST

/* Has a peer offer the active list with its only server leaving, as a delta. is_wrong: to a list with another id. */
static void offer_delta(fixture_t* fixture, char* out, size_t size, bool is_wrong) {
    cw_servers_t list = {0};
    cw_server_t s = {.id = "i", .address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 1};
    cw_servers_put(&list, &s);
    cw_delta_t delta = {.since = 1, .at = 7};
    ck_assert_uint_eq(sync_source_state(fixture->sync).servers, cw_servers_hash(&list));
    s.leaving = true;
    cw_servers_put(&list, &s);
    delta.result_hash = cw_servers_hash(&list) + is_wrong;
    cw_servers_put(&delta.updated, &s);
    char* text = cw_delta_to_json(&delta);
    snprintf(out, size, "%s", text);
    fixture->delta = out;
    cw_source_state_t offered_state = {.revision = 5, .servers = delta.result_hash};
    sync_on_peer_state(fixture->sync, cw_httpd_address(fixture->source), false, &offered_state);
    free(text);
    cw_servers_free(&list);
    cw_delta_free(&delta);
}

START_TEST(a_peer_sends_only_changes) {
    char delta[512];
    fixture_t* fixture = fixture_setup(5);
    run_until(fixture, is_ready);
    offer_delta(fixture, delta, sizeof(delta), false);
    run_until(fixture, is_server_leaving);
    ck_assert_uint_eq(fixture->delta_calls, 1);
    fixture_shutdown(fixture);
}
END_TEST

/* Changes that don't lead to the peer's list are not used; the full list is requested the next time. */
START_TEST(changes_of_another_list_lead_to_the_full_list_of_the_peer) {
    char delta[512];
    fixture_t* fixture = fixture_setup(5);
    run_until(fixture, is_ready);
    offer_delta(fixture, delta, sizeof(delta), true);
    run_until(fixture, fetched_delta);
    run_until(fixture, called_6_times);
    ck_assert(!fixture->is_server_listed_leaving && strstr(fixture->log_text, "changes of another list"));
    cw_source_state_t offered_state = {.revision = 5, .servers = 99};
    fixture->leaving = true;
    sync_on_peer_state(fixture->sync, cw_httpd_address(fixture->source), false, &offered_state);
    run_until(fixture, is_server_leaving);
    ck_assert_uint_eq(fixture->delta_calls, 1); /* the full list was requested this time */
    fixture_shutdown(fixture);
}
END_TEST

/* Has the peer offer its documents to the fixture. They come from the peer's source, which serves the same ones. */
static void offer(fixture_t* fixture, fixture_t* peer) {
    cw_source_state_t offered_state = sync_source_state(peer->sync);
    sync_on_peer_state(fixture->sync, cw_httpd_address(peer->source), false, &offered_state);
}

/* A host of a large fleet that starts and applies the documents that a peer offers. */
static fixture_t* start_with_peer(fixture_t* peer) {
    fixture_t* fixture = fixture_setup_with_changes();
    sync_set_rank(fixture->sync, 3, 50);
    fixture->condition = is_ready;
    while (!sync_is_ready(fixture->sync)) {
        offer(fixture, peer);
        ev_run(fixture->loop, EVRUN_NOWAIT);
        ev_run(peer->loop, EVRUN_NOWAIT);
    }
    return fixture;
}

/* A peer offers a starting host the documents that it lacks. Without the wait for peers, hosts that started in a fleet
   polled the source as well, 31 pages each: 584 hosts made 47,735 calls within 45 s. */
START_TEST(a_host_that_is_offered_a_list_polls_no_page) {
    fixture_t* peer = fixture_setup(5);
    run_until(peer, is_ready);
    fixture_t* fixture = fixture_setup_with_changes();
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(addr);
    char share[CW_ADDR_TEXT_SIZE];
    /* A peer that has not responded yet, as its link is busy sending the list to many hosts. */
    int silent_peer = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(silent_peer, (struct sockaddr*)&addr, size), 0);
    ck_assert_int_eq(listen(silent_peer, 8), 0);
    ck_assert_int_eq(getsockname(silent_peer, (struct sockaddr*)&addr, &size), 0);
    cw_addr_format(&addr, share);
    cw_source_state_t offered_state = sync_source_state(peer->sync);
    fixture->condition = is_ready;
    while (sync_stats(fixture->sync).peer_calls < 2) { /* the list and the document */
        sync_on_peer_state(fixture->sync, share, false, &offered_state);
        ev_run(fixture->loop, EVRUN_NOWAIT);
    }
    cw_clock_simulate_suspend(1000);
    for (int i = 0; i < 20; i++) {
        sync_tick(fixture->sync, clock_ms());
        ev_run(fixture->loop, EVRUN_NOWAIT);
    }
    ck_assert_uint_eq(fixture->first_page_calls, 0);
    fixture_shutdown(fixture);
    fixture_shutdown(peer);
    close(silent_peer);
}
END_TEST

/* A response may have waited in the socket while the host was suspended, and timers don't count that time: the list
   isn't taken for a current one, or a version that came and went meanwhile would be missed without notice. */
START_TEST(a_peers_list_that_may_have_waited_is_old) {
    fixture_t* peer = fixture_setup(5);
    run_until(peer, is_ready);
    fixture_t* fixture = fixture_setup_with_changes();
    sync_set_rank(fixture->sync, 3, 50);
    fixture->condition = is_ready;
    while (sync_stats(fixture->sync).peer_calls < 2) { /* the list and the document */
        offer(fixture, peer);
        ev_run(fixture->loop, EVRUN_NOWAIT);
    }
    cw_clock_simulate_suspend(3000);
    while (!sync_is_ready(fixture->sync)) {
        ev_run(fixture->loop, EVRUN_NOWAIT);
        ev_run(peer->loop, EVRUN_NOWAIT);
    }
    ck_assert_int_ge(sync_stats(fixture->sync).servers_age_ms, 2000);
    fixture_shutdown(fixture);
    fixture_shutdown(peer);
}
END_TEST

/* A host that got the list from a peer polls the changes by one call, instead of all pages that its peers have read
   already. It polls at all when the confirmation by another daemon's poll arrives late, as happens in a large fleet. */
START_TEST(a_host_with_a_peers_list_polls_only_changes) {
    fixture_t* peer = fixture_setup(5);
    run_until(peer, is_ready);
    fixture_t* fixture = start_with_peer(peer);
    run_until(fixture, polled_changes_4_times);
    ck_assert_uint_eq(fixture->first_page_calls, 0);
    fixture_shutdown(fixture);
    fixture_shutdown(peer);
}
END_TEST

/* A page that the source rejected is requested again, but not the pages before it. */
START_TEST(a_list_is_resumed_at_the_failed_page) {
    fixture_t* fixture = fixture_setup_with_changes();
    fixture->fails_second_page = true;
    run_until(fixture, is_ready);
    ck_assert_uint_eq(fixture->failed_pages, 1);
    ck_assert_uint_eq(fixture->first_page_calls, 1);
    ck_assert_uint_eq(fixture->list_count, 1);
    fixture_shutdown(fixture);
}
END_TEST

START_TEST(an_older_revision_is_never_applied) {
    fixture_t* fixture = fixture_setup(9);
    run_until(fixture, is_ready);
    fixture->revision = 5;
    fixture->calls = 0;
    run_until(fixture, called_6_times);
    ck_assert_int_eq(sync_revision(fixture->sync), 9);
    ck_assert_uint_eq(fixture->revision_count, 1);
    fixture_shutdown(fixture);
}
END_TEST

START_TEST(a_hall_is_closed_and_opened_and_a_failed_poll_changes_nothing) {
    custom_source = source_native;
    custom_source.closed_path = platform_source.closed_path;
    custom_source.read_closed = platform_source.read_closed;
    fixture_t* fixture = fixture_setup_source(5, &custom_source);
    run_until(fixture, is_ready);
    ck_assert(!fixture->is_hall_listed_closed);
    fixture->closes_hall_a = true;
    run_until(fixture, is_hall_closed);
    uint64_t closed_id = sync_source_state(fixture->sync).servers;
    fixture->mode = SOURCE_FAILS;
    run_until(fixture, is_source_unavailable);
    ck_assert(fixture->is_hall_listed_closed);
    fixture->closes_hall_a = false;
    fixture->mode = SOURCE_RESPONDS;
    run_until(fixture, is_hall_open);
    ck_assert_uint_ne(sync_source_state(fixture->sync).servers, closed_id); /* so that peers fetch it */
    fixture_shutdown(fixture);
}
END_TEST

START_TEST(invalid_documents_are_logged_and_change_nothing) {
    fixture_t* fixture = fixture_setup(9);
    run_until(fixture, is_ready);
    fixture->calls = 0;
    fixture->mode = SOURCE_SENDS_GARBAGE;
    run_until(fixture, called_6_times);
    ck_assert(sync_is_ready(fixture->sync));
    ck_assert_int_eq(sync_revision(fixture->sync), 9);
    ck_assert_msg(strstr(fixture->log_text, "config-invalid peer=127.0.0.1:"), "%s", fixture->log_text);
    fixture->mode = SOURCE_RESPONDS; /* a newer document that is invalid */
    fixture->revision = 10;
    fixture->extra = ",\"routes\":[{\"name\":7}]";
    fixture->calls = 0;
    run_until(fixture, called_6_times);
    ck_assert_int_eq(sync_revision(fixture->sync), 9);
    ck_assert_msg(strstr(fixture->log_text, "step=catalog"), "%s", fixture->log_text);
    fixture_shutdown(fixture);
}
END_TEST

/* A daemon whose calls to the source fail gets the documents from a peer. */
START_TEST(a_daemon_without_source_uses_its_peers) {
    fixture_t* peer = fixture_setup(9);
    run_until(peer, is_ready);
    fixture_t* fixture = fixture_setup(9);
    fixture->mode = SOURCE_FAILS;
    run_until(fixture, is_source_unavailable);
    /* sync.h doesn't expose the peer's share address; another source serves the same documents */
    cw_source_state_t source_state = sync_source_state(peer->sync);
    fixture_t* shared = fixture_setup(9);
    shared->condition = is_ready;
    sync_on_peer_state(fixture->sync, cw_httpd_address(shared->source), false, &source_state);
    fixture->condition = is_ready;
    while (!sync_is_ready(fixture->sync)) {
        ev_run(fixture->loop, EVRUN_NOWAIT);
        ev_run(shared->loop, EVRUN_NOWAIT);
    }
    ck_assert_int_eq(sync_revision(fixture->sync), 9);
    fixture_shutdown(fixture);
    fixture_shutdown(shared);
    fixture_shutdown(peer);
}
END_TEST

/* -- a source that is restored from an older copy ------------------------- */

/* The restored source assigns the revisions of lost changes again. A poll for the changes since such a revision would
   miss the new changes up to it: here that a server leaves. */
START_TEST(reused_revisions_hide_no_change) {
    fixture_t* fixture = fixture_setup_with_changes();
    fixture->epoch = 1;
    run_until(fixture, polled_changes_4_times);
    ck_assert_uint_eq(fixture->first_page_calls, 1);
    ck_assert_uint_eq(fixture->resets, 0);
    fixture->epoch = 2;
    fixture->leaving = true;
    /* The source's revisions go on rising, as if nothing had been lost. */
    fixture->change_calls_until = fixture->change_calls + 4;
    run_until(fixture, polled_changes_or_leaving);
    ck_assert(fixture->is_server_listed_leaving);
    ck_assert_uint_eq(fixture->first_page_calls, 2);
    ck_assert(fixture->after_outage); /* entries that are missing from the copy get time to reappear */
    ck_assert_uint_eq(fixture->resets, 1);
    fixture_shutdown(fixture);
}
END_TEST

/* A response that was delayed for long comes from an earlier epoch: neither its configuration nor its list is used. */
START_TEST(a_response_of_an_earlier_epoch_changes_nothing) {
    custom_source = source_native;
    custom_source.epoch_field = platform_source.epoch_field;
    fixture_t* fixture = fixture_setup_source(5, &custom_source);
    fixture->epoch = 3;
    run_until(fixture, is_ready);
    fixture->epoch = 2;
    fixture->revision = 9;
    fixture->leaving = true;
    uint32_t calls = fixture->calls;
    while (fixture->calls < calls + 6) {
        run_until(fixture, next_tick);
    }
    ck_assert_int_eq(sync_revision(fixture->sync), 5);
    ck_assert(!fixture->is_server_listed_leaving);
    fixture->epoch = 3;
    run_until(fixture, has_revision_9);
    fixture_shutdown(fixture);
}
END_TEST

/* A hall was closed after the copy was made, and the operator closes it again within seconds of the restore: it must
   not open meanwhile. It opens after that time if the operator doesn't close it again. */
START_TEST(a_hall_closed_after_the_copy_stays_closed_after_a_restore) {
    custom_source = source_native;
    custom_source.epoch_field = platform_source.epoch_field;
    custom_source.closed_path = platform_source.closed_path;
    custom_source.read_closed = platform_source.read_closed;
    fixture_t* fixture = fixture_setup_source(5, &custom_source);
    fixture->epoch = 1;
    fixture->closes_hall_a = true;
    run_until(fixture, is_hall_closed);
    fixture->epoch = 2;
    fixture->closes_hall_a = false;
    uint32_t calls = fixture->calls;
    while (fixture->calls < calls + 8) {
        run_until(fixture, next_tick);
        ck_assert(fixture->is_hall_listed_closed);
    }
    cw_clock_simulate_suspend(6000);
    run_until(fixture, is_hall_open);
    fixture_shutdown(fixture);
}
END_TEST

/* A malformed epoch is logged and changes nothing; nor does a response without an epoch. */
START_TEST(a_malformed_epoch_is_logged_and_changes_nothing) {
    fixture_t* fixture = fixture_setup_with_changes();
    fixture->epoch = 1;
    run_until(fixture, polled_changes_4_times);
    fixture->malformed_epoch = "-7 or so";
    fixture->change_calls_until = fixture->change_calls + 4;
    run_until(fixture, polled_changes_or_leaving);
    fixture->malformed_epoch = NULL;
    fixture->epoch = 0;
    fixture->change_calls_until = fixture->change_calls + 4;
    run_until(fixture, polled_changes_or_leaving);
    ck_assert_uint_eq(fixture->first_page_calls, 1);
    ck_assert_ptr_nonnull(strstr(fixture->log_text, "-7 or so"));
    fixture_shutdown(fixture);
}
END_TEST

START_TEST(a_peer_with_the_same_state_refreshes_it) {
    fixture_t* fixture = fixture_setup(9);
    run_until(fixture, is_ready);
    cw_source_state_t known = sync_source_state(fixture->sync);
    fixture->mode = SOURCE_FAILS;
    run_until(fixture, is_source_unavailable);
    ck_assert_uint_gt(sync_source_state(fixture->sync).servers_age_ms, 0);
    known.servers_age_ms = known.revision_age_ms = 0;
    sync_on_peer_state(fixture->sync, "127.0.0.1:1", false, &known);
    ck_assert_uint_le(sync_source_state(fixture->sync).servers_age_ms, 5000);
    cw_source_state_t after = sync_source_state(fixture->sync);
    ck_assert_uint_eq(after.servers, known.servers);
    ck_assert_uint_eq(after.revision, 9);
    fixture_shutdown(fixture);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, changes_are_applied_to_the_list);
    tcase_add_test(t, a_list_is_resumed_at_the_failed_page);
    tcase_add_test(t, a_host_that_is_offered_a_list_polls_no_page);
    tcase_add_test(t, a_peers_list_that_may_have_waited_is_old);
    tcase_add_test(t, a_host_with_a_peers_list_polls_only_changes);
    tcase_add_test(t, a_peer_sends_only_changes);
    tcase_add_test(t, changes_of_another_list_lead_to_the_full_list_of_the_peer);
    tcase_add_test(t, a_response_without_events_leads_to_the_full_list);
    tcase_add_test(t, a_list_of_one_page_is_polled_in_full);
    tcase_add_test(t, a_source_without_history_is_polled_for_the_full_list);
    tcase_add_loop_test(t, a_forgotten_removal_is_not_taken_for_no_change, 0, 4);
    tcase_add_test(t, invalid_changes_lead_to_the_full_list);
    tcase_add_test(t, changes_at_the_source_are_applied);
    tcase_add_test(t, a_call_without_response_does_not_block_later_polls);
    tcase_add_test(t, a_list_after_an_outage_is_flagged);
    tcase_add_test(t, an_older_revision_is_never_applied);
    tcase_add_test(t, a_hall_is_closed_and_opened_and_a_failed_poll_changes_nothing);
    tcase_add_test(t, invalid_documents_are_logged_and_change_nothing);
    tcase_add_test(t, a_daemon_without_source_uses_its_peers);
    tcase_add_test(t, a_peer_with_the_same_state_refreshes_it);
    tcase_add_test(t, reused_revisions_hide_no_change);
    tcase_add_test(t, a_response_of_an_earlier_epoch_changes_nothing);
    tcase_add_test(t, a_hall_closed_after_the_copy_stays_closed_after_a_restore);
    tcase_add_test(t, a_malformed_epoch_is_logged_and_changes_nothing);
}

int main(void) {
    return run_suite("sync", add_tests, 30);
}
