/* Peers: what they offer and hold newer, and what they get. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_packed.h"
#include "sync_parts.h"

#define LIST_CALL_MS 3000 /* a peer's whole list, which its link may carry to many at once */
#define PEERS_FIRST_MS                                                                                                 \
    5000 /* after its start a host that is offered what it lacks doesn't ask the source for so long */

/* After a failed call to a peer: another one is asked soon, whatever the rank. */
static void back_off_peer(fetch_t* f) {
    f->next_ms = clock_ms() + cw_reader_pause_ms(&(cw_reader_t){0}, ++f->failures, sync_draw(f->sync));
}

/* -- peers ---------------------------------------------------------------- */

void sync_on_peer_catalog_failure(sync_t* s, const char* why) {
    (void)why;
    back_off_peer(&s->peer_catalog);
}

void sync_on_peer_catalog(sync_t* s, unsigned status, const char* body, size_t size) {
    sync_fetch_ok(&s->peer_catalog);
    if (status == 200 && size) {
        sync_adopt_catalog(s, strndup(body, size), s->peer_catalog.peer);
    }
}

void sync_on_peer_servers_failure(sync_t* s, const char* why) {
    (void)why;
    back_off_peer(&s->peer_servers);
}

/* The list in force with a peer's changes. */
static cw_status_t read_delta(sync_t* s, cw_servers_t* list, const char* body, size_t size, cw_error_t* err) {
    cw_delta_t delta = {0};
    if (cw_delta_read(&delta, body, size, err) != CW_OK) {
        return CW_ERR_INVALID;
    }
    cw_servers_copy(list, &s->list);
    cw_status_t status = CW_OK;
    if (!cw_delta_apply(list, &delta)) {
        s->whole_wanted = true;
        status =
            cw_fail(err, CW_ERR_STALE, "servers", s->peer_servers.peer, "changes of another list than the own one");
        cw_servers_free(list);
    }
    cw_delta_free(&delta);
    return status;
}

/* A peer's whole list counts as read here when the peer vouched for it: whoever reads on does so by changes. Pages that
   are being read meanwhile would only repeat it. */
static void adopt_peers_list(sync_t* s, cw_servers_t* list, cw_changes_t* changes, bool delta) {
    int64_t true_ms = clock_ms() - list->age_ms;
    bool newer = true_ms >= s->list_ms;
    sync_adopt_servers(s, list, true_ms);
    if (newer && !delta) {
        s->whole_known = true;
    }
    if (newer && changes->since && changes->since < s->changes.since) { /* the peer remembers more of this list */
        cw_changes_free(&s->changes);
        s->changes = *changes;
        *changes = (cw_changes_t){0};
    }
    cw_changes_free(changes);
    if (newer && s->pages_ms != NEVER && !s->by_changes && true_ms >= s->pages_ms) {
        sync_fetch_cancel(&s->servers);
        sync_drop_pages(s);
        sync_fetch_ok(&s->servers);
    }
}

void sync_on_peer_servers(sync_t* s, unsigned status, const char* body, size_t size) {
    cw_servers_t list = {0};
    cw_changes_t changes = {0};
    cw_error_t err = {0};
    sync_fetch_ok(&s->peer_servers);
    if (status != 200) {
        return;
    }
    s->whole_wanted = false;
    bool delta = cw_delta_is(body, size);
    cw_status_t read = delta                      ? read_delta(s, &list, body, size, &err)
                       : cw_packed_is(body, size) ? cw_packed_read(&list, &changes, body, size, &err)
                                                  : cw_servers_read(&list, body, size, &err);
    if (read != CW_OK) {
        sync_refuse_answer(s, s->peer_servers.peer, &err);
        return;
    }
    adopt_peers_list(s, &list, &changes, delta);
}

/* Notes that a peer has a newer document. */
static void offered(sync_t* s, const fetch_t* f, cw_pull_t* pull, const char* peer, bool far, uint64_t version) {
    int64_t now_ms = clock_ms();
    if (f->call || now_ms < f->next_ms) {
        return;
    }
    cw_pull_told(pull, &(cw_pull_offer_t){.now_ms = now_ms,
                                          .version = version,
                                          .peer = peer,
                                          .far = far,
                                          .daemons = s->reader.daemons,
                                          .draw = sync_draw(s)});
}

/* Fetches from a peer when it is time. */
static void pull(sync_t* s, fetch_t* f, cw_pull_t* wanted, const char* path, uint32_t timeout_ms, int64_t now_ms) {
    const char* peer = cw_pull_due(wanted, now_ms);
    if (peer) {
        s->stats.peer_calls++;
        sync_fetch(f, peer, path, timeout_ms);
    }
}

/* A peer holds what this host lacks at its start, is about to be asked or being asked, and none has failed to answer.
 */
bool sync_is_offered(const sync_t* s, const fetch_t* f, const cw_pull_t* wanted, int64_t now_ms) {
    return (wanted->wanted || f->call) && !f->failures && now_ms - s->reader.started_ms < PEERS_FIRST_MS;
}

/* Where a peer's list is read, or (true) what changed since the own one. */
static bool peer_servers_path(const sync_t* s, char* out, size_t size) {
    bool changes = s->list_ms != NEVER && s->list.at && !s->whole_wanted;
    if (changes) {
        snprintf(out, size, "/servers?packed=1&since=%lld", (long long)s->list.at);
    } else {
        snprintf(out, size, "/servers?packed=1");
    }
    return changes;
}

void sync_pull_due(sync_t* s, int64_t now_ms) {
    char path[64];
    bool changes = peer_servers_path(s, path, sizeof(path));
    pull(s, &s->peer_catalog, &s->catalog_pull, "/catalog", CALL_MS, now_ms);
    pull(s, &s->peer_servers, &s->servers_pull, path, changes ? CALL_MS : LIST_CALL_MS, now_ms);
}

void sync_on_peer(sync_t* s, const char* share, bool far, const cw_knowledge_t* k) {
    int64_t now_ms = clock_ms();
    int64_t catalog_ms = now_ms - k->revision_age_ms;
    int64_t list_ms = now_ms - k->servers_age_ms;
    if ((int64_t)k->revision > sync_revision(s)) {
        offered(s, &s->peer_catalog, &s->catalog_pull, share, far, k->revision);
    } else if (k->revision && (int64_t)k->revision == sync_revision(s) && catalog_ms > s->catalog_ms) {
        s->catalog_ms = catalog_ms;
    }
    if (k->servers && k->servers == s->list_id) {
        s->list_ms = list_ms > s->list_ms ? list_ms : s->list_ms;
    } else if (k->servers && list_ms > s->list_ms) {
        offered(s, &s->peer_servers, &s->servers_pull, share, far, k->servers);
    }
}

cw_knowledge_t sync_knowledge(const sync_t* s) {
    int64_t now_ms = clock_ms();
    return (cw_knowledge_t){.revision = (uint64_t)sync_revision(s),
                            .servers = s->list_id,
                            .revision_age_ms = sync_age(s->catalog_ms, now_ms),
                            .servers_age_ms = sync_age(s->list_ms, now_ms)};
}

/* -- sharing -------------------------------------------------------------- */

/* What a peer gets whose list is complete up to the revision (NULL: that has none), in the compact form where it reads
   that. To be freed by free(). */
static char* shared_servers(sync_t* s, const char* since, bool packed, size_t* size) {
    cw_delta_t delta = {0};
    char* text = NULL;
    s->list.age_ms = sync_age(s->list_ms, clock_ms());
    if (since && cw_changes_since(&s->changes, &s->list, strtoll(since, NULL, 10), &delta)) {
        delta.age_ms = s->list.age_ms;
        text = cw_delta_text(&delta);
    } else if (packed) {
        return cw_packed_write(&s->list, &s->changes, size);
    } else {
        text = cw_servers_text(&s->list);
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
    if (strcmp(path, "/catalog") == 0 && s->text) {
        const char* after = cw_exchange_arg(x, "after");
        bool newer = !after || strtoll(after, NULL, 10) < sync_revision(s);
        cw_exchange_reply(x, 200, &json, 1, s->text, newer ? strlen(s->text) : 0);
    } else if (strcmp(path, "/servers") == 0 && s->list_ms != NEVER) {
        size_t size = 0;
        char* text = shared_servers(s, cw_exchange_arg(x, "since"), cw_exchange_arg(x, "packed") != NULL, &size);
        cw_exchange_reply(x, 200, cw_packed_is(text, size) ? &msgpack : &json, 1, text, size);
        free(text);
    } else {
        cw_exchange_reply(x, 404, NULL, 0, "", 0);
    }
}
