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
#include "published.h"
#include "test.h"

#define TICK_S 0.005
#define TIMEOUT_S 10.0

typedef enum source_mode_t { SOURCE_RESPONDS, SOURCE_HANGS, SOURCE_FAILS, SOURCE_SENDS_GARBAGE } source_mode_t;

/* A source, one daemon's sync with it, and what the sync reported. The source publishes a configuration and a list of
   servers in the native form, unless noted otherwise. */
typedef struct site_t {
    struct ev_loop* loop;
    cw_log_t log;
    cw_httpd_t* source;
    source_mode_t mode;
    int64_t revision;            /* of the source's configuration */
    int64_t epoch;               /* of the source, 0: its responses name none */
    const char* malformed_epoch; /* named instead of the epoch */
    const char* extra;           /* text added to the configuration */
    bool leaving;                /* state of its only server */
    uint32_t calls;
    bool has_no_history;  /* responds to polls for changes with 410 */
    bool sends_no_events; /* returns no changes, not even heartbeats */
    const char* delta;    /* returned, as a peer, to a daemon that asks for changes; NULL: the full list is returned */
    uint32_t delta_calls;
    uint32_t first_page_calls; /* for the first of three pages */
    bool fails_second_page;    /* once */
    uint32_t failed_pages;
    uint32_t change_calls;       /* polls for changes */
    uint32_t change_calls_until; /* number of them to wait for */
    const char* change;          /* event returned by each of them, "" none */
    sync_t* sync;
    int64_t revisions[16]; /* applied, in this order */
    uint32_t revision_count;
    uint32_t list_count; /* lists applied */
    bool list_leaving;
    bool list_closed;   /* hall "a" is closed in the list */
    bool closes_hall_a; /* the source has it closed */
    bool after_outage;  /* of the list applied last */
    char log_text[8192];
    ev_timer tick, timeout;
    bool (*condition)(struct site_t* site);
} site_t;

/* A response of the source, with its epoch. */
static void reply(cw_exchange_t* x, const site_t* site, unsigned status, const char* body) {
    char epoch[24];
    snprintf(epoch, sizeof(epoch), "%lld", (long long)site->epoch);
    cw_header_t header = {"Store-Era", site->malformed_epoch ? site->malformed_epoch : epoch};
    cw_exchange_reply(x, status, &header, site->epoch ? 1 : 0, body, strlen(body));
}

/* Returns changes in the platform's form. */
static void on_changes(cw_exchange_t* x, site_t* site) {
    char body[512];
    site->change_calls++;
    if (site->has_no_history) {
        reply(x, site, 410, "");
        return;
    }
    unsigned at = site->change_calls + 1;
    snprintf(body, sizeof(body), "{\"events\":[%s%s{\"tls_key\":\"other\",\"revision\":%u}],\"at\":%u}",
             site->change ? site->change : "", site->change ? "," : "", at, at);
    if (site->sends_no_events) {
        snprintf(body, sizeof(body), "{\"events\":[],\"at\":%u}", at);
    }
    reply(x, site, 200, body);
}

/* Returns one of three pages, each with one server, in the platform's form. */
static void on_page(cw_exchange_t* x, site_t* site) {
    const char* after = cw_exchange_arg(x, "after");
    unsigned page = after ? (unsigned)(after[strlen(after) - 1] - '0') + 1 : 0;
    char body[512];
    site->first_page_calls += page == 0;
    if (page == 1 && site->fails_second_page && !site->failed_pages) {
        site->failed_pages++;
        reply(x, site, 429, "");
        return;
    }
    snprintf(body, sizeof(body), "{\"items\":[{\"tls_key\":\"servers/i%u\",\"value\":\"%s\"}],\"more\":%s,\"at\":1}",
             page, site->leaving ? DRAINING : READY, page < 2 ? "true" : "false");
    reply(x, site, 200, body);
}

static void on_source(cw_exchange_t* x, void* user) {
    site_t* site = user;
    char body[512];
    site->calls++;
    if (site->mode == SOURCE_HANGS) {
        return;
    }
    if (site->mode == SOURCE_FAILS) {
        reply(x, site, 503, "");
        return;
    }
    if (site->mode == SOURCE_SENDS_GARBAGE) {
        reply(x, site, 200, "{\"revision\":");
        return;
    }
    if (cw_exchange_arg(x, "since") && site->delta) {
        site->delta_calls++;
        reply(x, site, 200, site->delta);
        return;
    }
    const char* prefix = cw_exchange_arg(x, "path_prefix");
    if (prefix && strcmp(prefix, "op/evacuate/") == 0) {
        snprintf(body, sizeof(body), "{\"items\":[%s],\"at\":%u}",
                 site->closes_hall_a ? "{\"tls_key\":\"op/evacuate/a\"}" : "", site->calls);
        reply(x, site, 200, body);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/kv-range") == 0) {
        on_page(x, site);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/kv-watch") == 0) {
        on_changes(x, site);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/catalog") == 0) {
        snprintf(body, sizeof(body), "{\"revision\":%lld,\"routes\":[],\"pools\":[]%s}", (long long)site->revision,
                 site->extra ? site->extra : "");
    } else {
        snprintf(body, sizeof(body),
                 "{\"at\":1,\"servers\":[{\"id\":\"i\",\"address\":\"127.0.0.1:9\",\"pool\":\"p\",\"hall\":\"a\","
                 "\"slots\":1,\"leaving\":%s}]}",
                 site->leaving ? "true" : "false");
    }
    reply(x, site, 200, body);
}

static void on_catalog(void* user, cw_catalog_t* catalog) {
    site_t* site = user;
    site->revisions[site->revision_count++ % 16] = catalog->revision;
}

static void on_servers(void* user, const cw_servers_t* list, bool after_outage) {
    site_t* site = user;
    site->list_count++;
    site->after_outage = after_outage;
    site->list_leaving = list->items[0].leaving;
    site->list_closed = cw_closed_has(&list->closed, "a");
}

static void write_line(const char* line, void* user) {
    site_t* site = user;
    size_t used = strlen(site->log_text);
    snprintf(site->log_text + used, sizeof(site->log_text) - used, "%s\n", line);
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    site_t* site = w->data;
    sync_tick(site->sync, clock_ms());
    if (site->condition(site)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void on_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    ck_abort_msg("timed out; calls %u, log:\n%s", ((site_t*)w->data)->calls, ((site_t*)w->data)->log_text);
}

static void run_until(site_t* site, bool (*condition)(site_t* site)) {
    site->condition = condition;
    ev_timer_stop(site->loop, &site->timeout);
    ev_timer_set(&site->timeout, TIMEOUT_S, 0.0);
    ev_timer_start(site->loop, &site->timeout);
    ev_run(site->loop, 0);
}

static source_t custom_source;

static site_t* site_setup_source(int64_t revision, const source_t* source) {
    site_t* site = calloc(1, sizeof(*site));
    cw_error_t err = {0};
    site->loop = ev_loop_new(0);
    site->log = (cw_log_t){.level = CW_LOG_DEBUG, .write = write_line, .user_data = site};
    site->revision = revision;
    site->source = cw_httpd_setup(
        &(cw_httpd_desc_t){.loop = site->loop, .address = "127.0.0.1:0", .on_request = on_source, .user_data = site},
        &err);
    ck_assert_msg(site->source != NULL, "%s", err.message);
    site->sync = sync_setup(&(sync_desc_t){.loop = site->loop,
                                           .log = &site->log,
                                           .source = source,
                                           .address = cw_httpd_address(site->source),
                                           .share = "127.0.0.1:0",
                                           .read_ms = 30,
                                           .closed_ms = source->closed_path ? 1 : 0,
                                           .on_catalog = on_catalog,
                                           .on_servers = on_servers,
                                           .user_data = site},
                            &err);
    ck_assert_msg(site->sync != NULL, "%s", err.message);
    ev_timer_init(&site->tick, on_tick, TICK_S, TICK_S);
    ev_timer_init(&site->timeout, on_timeout, TIMEOUT_S, 0.0);
    site->tick.data = site->timeout.data = site;
    ev_timer_start(site->loop, &site->tick);
    return site;
}

static site_t* site_setup(int64_t revision) {
    return site_setup_source(revision, &source_native);
}

/* A source that returns its list in pages, and its changes. */
static site_t* site_setup_with_changes(void) {
    custom_source = source_native;
    custom_source.servers_path = platform_source.servers_path;
    custom_source.read_servers = platform_source.read_servers;
    custom_source.changes_path = platform_source.changes_path;
    custom_source.life_field = platform_source.life_field;
    custom_source.read_changes = platform_source.read_changes;
    return site_setup_source(5, &custom_source);
}

static void site_shutdown(site_t* site) {
    sync_shutdown(site->sync);
    cw_httpd_shutdown(site->source);
    ev_timer_stop(site->loop, &site->tick);
    ev_timer_stop(site->loop, &site->timeout);
    ev_loop_destroy(site->loop);
    free(site);
}

static bool is_ready(site_t* site) {
    return sync_ready(site->sync);
}

static bool has_revision_9(site_t* site) {
    return sync_revision(site->sync) == 9;
}

static bool is_server_leaving(site_t* site) {
    return site->list_leaving;
}

static bool is_server_staying(site_t* site) {
    return !site->list_leaving;
}

static bool is_source_unavailable(site_t* site) {
    return sync_stats(site->sync).source_lost;
}

static bool is_list_outdated(site_t* site) {
    return sync_stats(site->sync).servers_age_ms > 2100;
}

static bool is_hall_closed(site_t* site) {
    return site->list_closed;
}

static bool is_hall_open(site_t* site) {
    return !site->list_closed;
}

static bool polled_changes_4_times(site_t* site) {
    return site->change_calls >= 4;
}

static bool polled_changes_or_leaving(site_t* site) {
    return site->change_calls >= site->change_calls_until || site->list_leaving;
}

static bool next_tick(site_t* site) {
    (void)site;
    return true;
}

static bool polled_full_list_twice(site_t* site) {
    return site->first_page_calls >= 2;
}

static bool fetched_delta(site_t* site) {
    return site->delta_calls > 0;
}

static bool called_6_times(site_t* site) {
    return site->calls >= 6;
}

START_TEST(changes_at_the_source_are_applied) {
    site_t* site = site_setup(5);
    run_until(site, is_ready);
    ck_assert_int_eq(sync_revision(site->sync), 5);
    site->revision = 9;
    site->leaving = true;
    run_until(site, has_revision_9);
    run_until(site, is_server_leaving);
    site_shutdown(site);
}
END_TEST

/* Guards against a source that seems to have no changes: a connection that is cut silently gets no response, and later
   changes must be seen all the same. */
START_TEST(a_call_without_response_does_not_block_later_polls) {
    site_t* site = site_setup(5);
    run_until(site, is_ready);
    site->mode = SOURCE_HANGS;
    site->calls = 0;
    run_until(site, is_source_unavailable);
    site->mode = SOURCE_RESPONDS;
    site->revision = 9;
    run_until(site, has_revision_9);
    ck_assert(strstr(site->log_text, "source-lost") && strstr(site->log_text, "source-back"));
    site_shutdown(site);
}
END_TEST

/* The source is unavailable for longer than entries live. The next list is flagged, so that entries that expired
   meanwhile are not taken for servers that were removed. */
START_TEST(a_list_after_an_outage_is_flagged) {
    site_t* site = site_setup(5);
    run_until(site, is_ready);
    ck_assert(!site->after_outage);
    site->mode = SOURCE_FAILS;
    run_until(site, is_list_outdated);
    site->mode = SOURCE_RESPONDS;
    site->leaving = true;
    run_until(site, is_server_leaving);
    ck_assert(site->after_outage);
    uint32_t list_count = site->list_count;
    site->calls = 0;
    run_until(site, called_6_times);
    ck_assert_uint_eq(site->list_count, list_count); /* the same list is not reported again */
    site->leaving = false;
    run_until(site, is_server_staying);
    ck_assert_uint_eq(site->list_count, list_count + 1);
    ck_assert(!site->after_outage); /* an ordinary change */
    site_shutdown(site);
}
END_TEST

/* After the full list only changes are polled. */
START_TEST(changes_are_applied_to_the_list) {
    site_t* site = site_setup_with_changes();
    run_until(site, polled_changes_4_times);
    ck_assert_uint_eq(site->first_page_calls, 1);
    ck_assert_uint_eq(site->list_count, 1); /* none of the responses changed the list */
    site->change = "{\"tls_key\":\"servers/i0\",\"value\":\"" DRAINING "\",\"revision\":3}";
    run_until(site, is_server_leaving);
    ck_assert_uint_eq(site->first_page_calls, 1);
    ck_assert_uint_eq(site->list_count, 2);
    site_shutdown(site);
}
END_TEST

START_TEST(a_source_without_history_is_polled_for_the_full_list) {
    site_t* site = site_setup_with_changes();
    run_until(site, polled_changes_4_times);
    site->has_no_history = true;
    site->leaving = true;
    run_until(site, is_server_leaving);
    ck_assert_uint_ge(site->first_page_calls, 2);
    ck_assert(!sync_stats(site->sync).source_lost);
    site_shutdown(site);
}
END_TEST

/* The source delivers no events for a while. A server that leaves meanwhile is seen in the full list. */
START_TEST(a_response_without_events_leads_to_the_full_list) {
    site_t* site = site_setup_with_changes();
    run_until(site, polled_changes_4_times);
    site->sends_no_events = true;
    site->leaving = true;
    run_until(site, is_server_leaving);
    ck_assert_uint_ge(site->first_page_calls, 2);
    site_shutdown(site);
}
END_TEST

/* A list that fits one page costs one call, as its changes would. */
START_TEST(a_list_of_one_page_is_polled_in_full) {
    custom_source = source_native;
    custom_source.changes_path = platform_source.changes_path;
    custom_source.life_field = platform_source.life_field;
    custom_source.read_changes = platform_source.read_changes;
    site_t* site = site_setup_source(5, &custom_source);
    run_until(site, is_ready);
    site->calls = 0;
    run_until(site, called_6_times);
    ck_assert_uint_eq(site->change_calls, 0);
    site_shutdown(site);
}
END_TEST

START_TEST(invalid_changes_lead_to_the_full_list) {
    site_t* site = site_setup_with_changes();
    run_until(site, polled_changes_4_times);
    site->change = "7],\"at\":{},\"other\":[";
    run_until(site, polled_full_list_twice);
    ck_assert_uint_eq(site->list_count, 1);
    ck_assert(sync_ready(site->sync));
    site_shutdown(site);
}
END_TEST

/* Has a peer offer the active list with its only server leaving, as a delta. is_wrong: to a list with another id. */
static void offer_delta(site_t* site, char* out, size_t size, bool is_wrong) {
    cw_servers_t list = {0};
    cw_server_t s = {.id = "i", .address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 1};
    cw_servers_put(&list, &s);
    cw_delta_t delta = {.since = 1, .at = 7};
    ck_assert_uint_eq(sync_knowledge(site->sync).servers, cw_servers_id(&list));
    s.leaving = true;
    cw_servers_put(&list, &s);
    delta.to = cw_servers_id(&list) + is_wrong;
    cw_servers_put(&delta.put, &s);
    char* text = cw_delta_text(&delta);
    snprintf(out, size, "%s", text);
    site->delta = out;
    cw_knowledge_t offered_state = {.revision = 5, .servers = delta.to};
    sync_on_peer(site->sync, cw_httpd_address(site->source), false, &offered_state);
    free(text);
    cw_servers_free(&list);
    cw_delta_free(&delta);
}

START_TEST(a_peer_sends_only_changes) {
    char delta[512];
    site_t* site = site_setup(5);
    run_until(site, is_ready);
    offer_delta(site, delta, sizeof(delta), false);
    run_until(site, is_server_leaving);
    ck_assert_uint_eq(site->delta_calls, 1);
    site_shutdown(site);
}
END_TEST

/* Changes that don't lead to the peer's list are not used; the full list is requested the next time. */
START_TEST(changes_of_another_list_lead_to_the_full_list_of_the_peer) {
    char delta[512];
    site_t* site = site_setup(5);
    run_until(site, is_ready);
    offer_delta(site, delta, sizeof(delta), true);
    run_until(site, fetched_delta);
    run_until(site, called_6_times);
    ck_assert(!site->list_leaving && strstr(site->log_text, "changes of another list"));
    cw_knowledge_t offered_state = {.revision = 5, .servers = 99};
    site->leaving = true;
    sync_on_peer(site->sync, cw_httpd_address(site->source), false, &offered_state);
    run_until(site, is_server_leaving);
    ck_assert_uint_eq(site->delta_calls, 1); /* the full list was requested this time */
    site_shutdown(site);
}
END_TEST

/* Has the peer offer its documents to the site. They come from the peer's source, which serves the same ones. */
static void offer(site_t* site, site_t* peer) {
    cw_knowledge_t offered_state = sync_knowledge(peer->sync);
    sync_on_peer(site->sync, cw_httpd_address(peer->source), false, &offered_state);
}

/* A host of a large fleet that starts and applies the documents that a peer offers. */
static site_t* start_with_peer(site_t* peer) {
    site_t* site = site_setup_with_changes();
    sync_set_rank(site->sync, 3, 50);
    site->condition = is_ready;
    while (!sync_ready(site->sync)) {
        offer(site, peer);
        ev_run(site->loop, EVRUN_NOWAIT);
        ev_run(peer->loop, EVRUN_NOWAIT);
    }
    return site;
}

/* A peer offers a starting host the documents that it lacks. Without the wait for peers, hosts that started in a fleet
   polled the source as well, 31 pages each: 584 hosts made 47,735 calls within 45 s. */
START_TEST(a_host_that_is_offered_a_list_polls_no_page) {
    site_t* peer = site_setup(5);
    run_until(peer, is_ready);
    site_t* site = site_setup_with_changes();
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(addr);
    char share[CW_ADDR_TEXT];
    int silent_peer =
        socket(AF_INET, SOCK_STREAM,
               0); /* a peer that has not responded yet, as its link is busy sending the list to many hosts */
    ck_assert_int_eq(bind(silent_peer, (struct sockaddr*)&addr, size), 0);
    ck_assert_int_eq(listen(silent_peer, 8), 0);
    ck_assert_int_eq(getsockname(silent_peer, (struct sockaddr*)&addr, &size), 0);
    cw_addr_format(&addr, share);
    cw_knowledge_t offered_state = sync_knowledge(peer->sync);
    site->condition = is_ready;
    while (sync_stats(site->sync).peer_calls < 2) { /* the list and the document */
        sync_on_peer(site->sync, share, false, &offered_state);
        ev_run(site->loop, EVRUN_NOWAIT);
    }
    cw_clock_suspend(1000);
    for (int i = 0; i < 20; i++) {
        sync_tick(site->sync, clock_ms());
        ev_run(site->loop, EVRUN_NOWAIT);
    }
    ck_assert_uint_eq(site->first_page_calls, 0);
    site_shutdown(site);
    site_shutdown(peer);
    close(silent_peer);
}
END_TEST

/* A host that got the list from a peer polls the changes by one call, instead of all pages that its peers have read
   already. It polls at all when the confirmation by another daemon's poll arrives late, as happens in a large fleet. */
START_TEST(a_host_with_a_peers_list_polls_only_changes) {
    site_t* peer = site_setup(5);
    run_until(peer, is_ready);
    site_t* site = start_with_peer(peer);
    run_until(site, polled_changes_4_times);
    ck_assert_uint_eq(site->first_page_calls, 0);
    site_shutdown(site);
    site_shutdown(peer);
}
END_TEST

/* A page that the source rejected is requested again, but not the pages before it. */
START_TEST(a_list_is_resumed_at_the_failed_page) {
    site_t* site = site_setup_with_changes();
    site->fails_second_page = true;
    run_until(site, is_ready);
    ck_assert_uint_eq(site->failed_pages, 1);
    ck_assert_uint_eq(site->first_page_calls, 1);
    ck_assert_uint_eq(site->list_count, 1);
    site_shutdown(site);
}
END_TEST

START_TEST(an_older_revision_is_never_applied) {
    site_t* site = site_setup(9);
    run_until(site, is_ready);
    site->revision = 5;
    site->calls = 0;
    run_until(site, called_6_times);
    ck_assert_int_eq(sync_revision(site->sync), 9);
    ck_assert_uint_eq(site->revision_count, 1);
    site_shutdown(site);
}
END_TEST

START_TEST(a_hall_is_closed_and_opened_and_a_failed_poll_changes_nothing) {
    custom_source = source_native;
    custom_source.closed_path = platform_source.closed_path;
    custom_source.read_closed = platform_source.read_closed;
    site_t* site = site_setup_source(5, &custom_source);
    run_until(site, is_ready);
    ck_assert(!site->list_closed);
    site->closes_hall_a = true;
    run_until(site, is_hall_closed);
    uint64_t closed_id = sync_knowledge(site->sync).servers;
    site->mode = SOURCE_FAILS;
    run_until(site, is_source_unavailable);
    ck_assert(site->list_closed);
    site->closes_hall_a = false;
    site->mode = SOURCE_RESPONDS;
    run_until(site, is_hall_open);
    ck_assert_uint_ne(sync_knowledge(site->sync).servers, closed_id); /* so that peers fetch it */
    site_shutdown(site);
}
END_TEST

START_TEST(invalid_documents_are_logged_and_change_nothing) {
    site_t* site = site_setup(9);
    run_until(site, is_ready);
    site->calls = 0;
    site->mode = SOURCE_SENDS_GARBAGE;
    run_until(site, called_6_times);
    ck_assert(sync_ready(site->sync));
    ck_assert_int_eq(sync_revision(site->sync), 9);
    ck_assert_msg(strstr(site->log_text, "config-invalid peer=127.0.0.1:"), "%s", site->log_text);
    site->mode = SOURCE_RESPONDS; /* a newer document that is invalid */
    site->revision = 10;
    site->extra = ",\"routes\":[{\"name\":7}]";
    site->calls = 0;
    run_until(site, called_6_times);
    ck_assert_int_eq(sync_revision(site->sync), 9);
    ck_assert_msg(strstr(site->log_text, "step=catalog"), "%s", site->log_text);
    site_shutdown(site);
}
END_TEST

/* A daemon whose calls to the source fail gets the documents from a peer. */
START_TEST(a_daemon_without_source_uses_its_peers) {
    site_t* peer = site_setup(9);
    run_until(peer, is_ready);
    site_t* site = site_setup(9);
    site->mode = SOURCE_FAILS;
    run_until(site, is_source_unavailable);
    /* sync.h doesn't tell the peer's share address; another source serves the same documents */
    cw_knowledge_t knowledge = sync_knowledge(peer->sync);
    site_t* shared = site_setup(9);
    shared->condition = is_ready;
    sync_on_peer(site->sync, cw_httpd_address(shared->source), false, &knowledge);
    site->condition = is_ready;
    while (!sync_ready(site->sync)) {
        ev_run(site->loop, EVRUN_NOWAIT);
        ev_run(shared->loop, EVRUN_NOWAIT);
    }
    ck_assert_int_eq(sync_revision(site->sync), 9);
    site_shutdown(site);
    site_shutdown(shared);
    site_shutdown(peer);
}
END_TEST

/* -- a source that is restored from an older copy ------------------------- */

/* The restored source assigns the revisions of lost changes again. A poll for the changes since such a revision would
   miss the new changes up to it: here that a server leaves. */
START_TEST(reused_revisions_hide_no_change) {
    site_t* site = site_setup_with_changes();
    site->epoch = 1;
    run_until(site, polled_changes_4_times);
    ck_assert_uint_eq(site->first_page_calls, 1);
    site->epoch = 2;
    site->leaving = true;
    site->change_calls_until = site->change_calls + 4; /* its revisions go on rising, as if nothing had been lost */
    run_until(site, polled_changes_or_leaving);
    ck_assert(site->list_leaving);
    ck_assert_uint_eq(site->first_page_calls, 2);
    ck_assert(site->after_outage); /* entries that are missing from the copy get time to reappear */
    site_shutdown(site);
}
END_TEST

/* A response that was delayed for long comes from an earlier epoch: neither its configuration nor its list is used. */
START_TEST(a_response_of_an_earlier_epoch_changes_nothing) {
    custom_source = source_native;
    custom_source.life_field = platform_source.life_field;
    site_t* site = site_setup_source(5, &custom_source);
    site->epoch = 3;
    run_until(site, is_ready);
    site->epoch = 2;
    site->revision = 9;
    site->leaving = true;
    uint32_t calls = site->calls;
    while (site->calls < calls + 6) {
        run_until(site, next_tick);
    }
    ck_assert_int_eq(sync_revision(site->sync), 5);
    ck_assert(!site->list_leaving);
    site->epoch = 3;
    run_until(site, has_revision_9);
    site_shutdown(site);
}
END_TEST

/* A hall was closed after the copy was made, and the operator closes it again within seconds of the restore: it must
   not open meanwhile. It opens after that time if the operator doesn't close it again. */
START_TEST(a_hall_closed_after_the_copy_stays_closed_after_a_restore) {
    custom_source = source_native;
    custom_source.life_field = platform_source.life_field;
    custom_source.closed_path = platform_source.closed_path;
    custom_source.read_closed = platform_source.read_closed;
    site_t* site = site_setup_source(5, &custom_source);
    site->epoch = 1;
    site->closes_hall_a = true;
    run_until(site, is_hall_closed);
    site->epoch = 2;
    site->closes_hall_a = false;
    uint32_t calls = site->calls;
    while (site->calls < calls + 8) {
        run_until(site, next_tick);
        ck_assert(site->list_closed);
    }
    cw_clock_suspend(6000);
    run_until(site, is_hall_open);
    site_shutdown(site);
}
END_TEST

/* A malformed epoch is logged and changes nothing; nor does a response without an epoch. */
START_TEST(a_malformed_epoch_is_logged_and_changes_nothing) {
    site_t* site = site_setup_with_changes();
    site->epoch = 1;
    run_until(site, polled_changes_4_times);
    site->malformed_epoch = "-7 or so";
    site->change_calls_until = site->change_calls + 4;
    run_until(site, polled_changes_or_leaving);
    site->malformed_epoch = NULL;
    site->epoch = 0;
    site->change_calls_until = site->change_calls + 4;
    run_until(site, polled_changes_or_leaving);
    ck_assert_uint_eq(site->first_page_calls, 1);
    ck_assert_ptr_nonnull(strstr(site->log_text, "-7 or so"));
    site_shutdown(site);
}
END_TEST

START_TEST(a_peer_with_the_same_state_refreshes_it) {
    site_t* site = site_setup(9);
    run_until(site, is_ready);
    cw_knowledge_t known = sync_knowledge(site->sync);
    site->mode = SOURCE_FAILS;
    run_until(site, is_source_unavailable);
    ck_assert_uint_gt(sync_knowledge(site->sync).servers_age_ms, 0);
    known.servers_age_ms = known.revision_age_ms = 0;
    sync_on_peer(site->sync, "127.0.0.1:1", false, &known);
    ck_assert_uint_le(sync_knowledge(site->sync).servers_age_ms, 5000);
    cw_knowledge_t after = sync_knowledge(site->sync);
    ck_assert_uint_eq(after.servers, known.servers);
    ck_assert_uint_eq(after.revision, 9);
    site_shutdown(site);
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, changes_are_applied_to_the_list);
    tcase_add_test(t, a_list_is_resumed_at_the_failed_page);
    tcase_add_test(t, a_host_that_is_offered_a_list_polls_no_page);
    tcase_add_test(t, a_host_with_a_peers_list_polls_only_changes);
    tcase_add_test(t, a_peer_sends_only_changes);
    tcase_add_test(t, changes_of_another_list_lead_to_the_full_list_of_the_peer);
    tcase_add_test(t, a_response_without_events_leads_to_the_full_list);
    tcase_add_test(t, a_list_of_one_page_is_polled_in_full);
    tcase_add_test(t, a_source_without_history_is_polled_for_the_full_list);
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
    return run_suite("sync", add, 30);
}
