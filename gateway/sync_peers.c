/* Documents fetched from peers, and documents served to them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_packed.h"
#include "sync_internal.h"

/* Timeout for a peer's full list, which the peer's link may carry to many hosts at once. */
#define FULL_LIST_CALL_TIMEOUT_MS 3000
/* Of full lists, named in requests for them; a host that reads an earlier one gets JSON. */
#define PACKED_FORMAT 2
/* After its start, a host waits this long for documents that peers offer before it polls the source. */
#define PEERS_FIRST_MS 5000

/* Sets the retry backoff after a failed call to a peer: short and independent of the rank, since another peer is asked
   next. */
static void schedule_peer_retry(fetch_t* f) {
    f->not_before_ms = clock_ms() + cw_poll_backoff_ms(&(cw_poll_t){0}, ++f->failures, sync_random(f->sync));
}

/* -- peers ---------------------------------------------------------------- */

void sync_on_peer_catalog_failure(sync_t* s, const char* why) {
    (void)why;
    schedule_peer_retry(&s->peer_catalog);
}

void sync_on_peer_catalog_response(sync_t* s, unsigned status, const char* body, size_t size) {
    sync_reset_backoff(&s->peer_catalog);
    if (status == 200 && size) {
        sync_apply_catalog(s, strndup(body, size), s->peer_catalog.address);
    }
}

void sync_on_peer_servers_failure(sync_t* s, const char* why) {
    (void)why;
    schedule_peer_retry(&s->peer_servers);
}

/* Reads a peer's changes and applies them to a copy of the active list. */
static cw_status_t read_peer_delta(sync_t* s, cw_servers_t* list, const char* body, size_t size, cw_error_t* err) {
    cw_delta_t delta = {0};
    if (cw_delta_from_json(&delta, body, size, err) != CW_OK) {
        return CW_ERR_INVALID;
    }
    cw_servers_copy(list, &s->list);
    cw_status_t status = CW_OK;
    if (!cw_delta_apply(list, &delta)) {
        s->needs_full_list = true;
        status = cw_fail(err, CW_ERR_STALE, "servers", s->peer_servers.address,
                         "changes of another list than the active one");
        cw_servers_free(list);
    }
    cw_delta_free(&delta);
    return status;
}

/* A newer full list of a peer counts as if it were read here in full, so the next poll asks for changes only. Pages of
   the same list that are being read meanwhile are discarded. A response that came late may have waited in the socket
   while this process stood still or the machine was suspended. */
static void apply_peer_list(sync_t* s, cw_servers_t* list, cw_changes_t* changes, bool is_delta) {
    int64_t waited_ms = clock_ms() - s->peer_servers.begun_ms;
    int64_t late_ms = waited_ms > CALL_TIMEOUT_MS ? waited_ms - CALL_TIMEOUT_MS : 0;
    int64_t confirmed_ms = clock_ms() - list->age_ms - late_ms;
    bool is_newer = confirmed_ms >= s->list_confirmed_ms;
    sync_apply_servers(s, list, confirmed_ms);
    if (is_newer && !is_delta) {
        s->has_full_list = true;
    }
    if (is_newer && changes->since && changes->since < s->changes.since) { /* the peer's changes reach back further */
        cw_changes_free(&s->changes);
        s->changes = *changes;
        *changes = (cw_changes_t){0};
    }
    cw_changes_free(changes);
    if (is_newer && s->incoming_started_ms != NEVER && !s->asks_for_changes && confirmed_ms >= s->incoming_started_ms) {
        sync_cancel_fetch(&s->servers);
        sync_discard_incoming(s);
        sync_reset_backoff(&s->servers);
    }
}

void sync_on_peer_servers_response(sync_t* s, unsigned status, const char* body, size_t size) {
    cw_servers_t list = {0};
    cw_changes_t changes = {0};
    cw_error_t err = {0};
    sync_reset_backoff(&s->peer_servers);
    if (status != 200) {
        return;
    }
    s->needs_full_list = false;
    bool is_delta = cw_delta_is_json(body, size);
    cw_status_t read = is_delta                          ? read_peer_delta(s, &list, body, size, &err)
                       : cw_packed_has_magic(body, size) ? cw_packed_decode(&list, &changes, body, size, &err)
                                                         : cw_servers_from_json(&list, body, size, &err);
    if (read != CW_OK) {
        sync_log_invalid_response(s, s->peer_servers.address, &err);
        return;
    }
    apply_peer_list(s, &list, &changes, is_delta);
}

/* Notes that a peer offers a newer document. */
static void note_offer(sync_t* s, const fetch_t* f, cw_pull_t* pull, const char* peer, bool is_remote,
                       uint64_t version) {
    int64_t now_ms = clock_ms();
    if (f->call || now_ms < f->not_before_ms) {
        return;
    }
    cw_pull_add_offer(pull, &(cw_pull_offer_t){.now_ms = now_ms,
                                               .version = version,
                                               .peer = peer,
                                               .is_remote = is_remote,
                                               .daemons = s->poller.daemons,
                                               .random = sync_random(s)});
}

/* Starts the fetch from a peer when it is due. */
static void run_pull(sync_t* s, fetch_t* f, cw_pull_t* pull, const char* path, uint32_t timeout_ms, int64_t now_ms) {
    const char* peer = cw_pull_due(pull, now_ms);
    if (peer) {
        s->stats.peer_calls++;
        sync_begin_fetch(f, peer, path, timeout_ms);
    }
}

bool sync_is_offered_by_peer(const sync_t* s, const fetch_t* f, const cw_pull_t* pull, int64_t now_ms) {
    return (pull->is_pending || f->call) && !f->failures && now_ms - s->poller.started_ms < PEERS_FIRST_MS;
}

/* Writes the path of a peer's list. Returns whether it asks only for the changes since the active list. */
static bool peer_servers_path(const sync_t* s, char* out, size_t size) {
    bool requests_delta = s->list_confirmed_ms != NEVER && s->list.at && !s->needs_full_list;
    if (requests_delta) {
        snprintf(out, size, "/servers?packed=%d&since=%lld", PACKED_FORMAT, (long long)s->list.at);
    } else {
        snprintf(out, size, "/servers?packed=%d", PACKED_FORMAT);
    }
    return requests_delta;
}

void sync_run_due_pulls(sync_t* s, int64_t now_ms) {
    char path[64];
    bool requests_delta = peer_servers_path(s, path, sizeof(path));
    run_pull(s, &s->peer_catalog, &s->catalog_pull, "/catalog", CALL_TIMEOUT_MS, now_ms);
    run_pull(s, &s->peer_servers, &s->servers_pull, path, requests_delta ? CALL_TIMEOUT_MS : FULL_LIST_CALL_TIMEOUT_MS,
             now_ms);
}

void sync_on_peer_state(sync_t* s, const char* share, bool is_remote, const cw_source_state_t* peer_state) {
    int64_t now_ms = clock_ms();
    int64_t catalog_confirmed_ms = now_ms - peer_state->revision_age_ms;
    int64_t list_confirmed_ms = now_ms - peer_state->servers_age_ms;
    if ((int64_t)peer_state->revision > sync_revision(s)) {
        note_offer(s, &s->peer_catalog, &s->catalog_pull, share, is_remote, peer_state->revision);
    } else if (peer_state->revision && (int64_t)peer_state->revision == sync_revision(s) &&
               catalog_confirmed_ms > s->catalog_confirmed_ms) {
        s->catalog_confirmed_ms = catalog_confirmed_ms;
    }
    if (peer_state->servers && peer_state->servers == s->list_id) {
        s->list_confirmed_ms = list_confirmed_ms > s->list_confirmed_ms ? list_confirmed_ms : s->list_confirmed_ms;
    } else if (peer_state->servers && list_confirmed_ms > s->list_confirmed_ms) {
        note_offer(s, &s->peer_servers, &s->servers_pull, share, is_remote, peer_state->servers);
    }
}

cw_source_state_t sync_source_state(const sync_t* s) {
    int64_t now_ms = clock_ms();
    return (cw_source_state_t){.revision = (uint64_t)sync_revision(s),
                               .servers = s->list_id,
                               .revision_age_ms = sync_age_ms(s->catalog_confirmed_ms, now_ms),
                               .servers_age_ms = sync_age_ms(s->list_confirmed_ms, now_ms)};
}

/* -- serving peers -------------------------------------------------------- */

/* The response to a peer whose list is complete up to the revision since (NULL: it has none): changes, or else the full
   list, packed if the peer reads that. To be freed by free(). */
static char* encode_servers(sync_t* s, const char* since, bool accepts_packed, size_t* size) {
    cw_delta_t delta = {0};
    char* text = NULL;
    s->list.age_ms = sync_age_ms(s->list_confirmed_ms, clock_ms());
    if (since && cw_changes_get_delta(&s->changes, &s->list, strtoll(since, NULL, 10), &delta)) {
        delta.age_ms = s->list.age_ms;
        text = cw_delta_to_json(&delta);
    } else if (accepts_packed) {
        return cw_packed_encode(&s->list, &s->changes, size);
    } else {
        text = cw_servers_to_json(&s->list);
    }
    cw_delta_free(&delta);
    *size = strlen(text);
    return text;
}

void sync_on_share_request(cw_exchange_t* x, void* user) {
    sync_t* s = user;
    static const cw_header_t json = {"Content-Type", "application/json"};
    static const cw_header_t msgpack = {"Content-Type", "application/msgpack"};
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/catalog") == 0 && s->active_text) {
        const char* after = cw_exchange_arg(x, "after");
        bool is_newer = !after || strtoll(after, NULL, 10) < sync_revision(s);
        cw_exchange_reply(x, 200, &json, 1, s->active_text, is_newer ? strlen(s->active_text) : 0);
    } else if (strcmp(path, "/servers") == 0 && s->list_confirmed_ms != NEVER) {
        size_t size = 0;
        const char* packed = cw_exchange_arg(x, "packed");
        bool accepts_packed = packed && strtol(packed, NULL, 10) >= PACKED_FORMAT;
        char* text = encode_servers(s, cw_exchange_arg(x, "since"), accepts_packed, &size);
        cw_exchange_reply(x, 200, cw_packed_has_magic(text, size) ? &msgpack : &json, 1, text, size);
        free(text);
    } else {
        cw_exchange_reply(x, 404, NULL, 0, "", 0);
    }
}
