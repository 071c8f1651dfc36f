/* Lookup responses: addresses that a caller may use, how long it may cache them, a ticket for idempotency keys. */
#include <jansson.h>
#include <math.h>
#include <sodium.h>
#include <stdlib.h>

#include "node.h"

#define MAX_ADDRESSES 4

typedef struct candidate_t {
    const cw_member_t* member;
    double score; /* the highest is listed first */
} candidate_t;

/* Ranks members of this hall before others and suspected ones last. Within a hall the order is random, weighted by free
   capacity, to spread callers over the hosts. */
static double score_member(const node_t* node, const cw_member_t* m, uint32_t free_capacity) {
    double random = ((double)randombytes_random() + 1.0) / 4294967297.0;
    double score = pow(random, 1.0 / (free_capacity + 1.0));
    bool is_same_hall = cw_name_id(m->info.hall) == node->hall;
    return score + (is_same_hall ? 2.0 : 0.0) - (m->info.state == CW_MEMBER_SUSPECT ? 4.0 : 0.0);
}

static int compare_scores(const void* a, const void* b) {
    double x = ((const candidate_t*)a)->score;
    double y = ((const candidate_t*)b)->score;
    return (x < y) - (x > y);
}

static json_t* choose_addresses(const node_t* node) {
    candidate_t candidates[NODE_MAX_HOSTS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < cw_members_count(node->members) && count < NODE_MAX_HOSTS; i++) {
        const cw_member_t* m = cw_members_at(node->members, i);
        if (m->info.state == CW_MEMBER_DEAD || m->info.leaving) {
            continue;
        }
        uint32_t free_capacity =
            i ? (m->last_received_ms ? m->free_capacity : 50) : entry_free_capacity_percent(node->entry);
        candidates[count++] = (candidate_t){.member = m, .score = score_member(node, m, free_capacity)};
    }
    qsort(candidates, count, sizeof(candidates[0]), compare_scores);
    json_t* list = json_array();
    for (uint32_t i = 0; i < count && i < MAX_ADDRESSES; i++) {
        json_array_append_new(list, json_string(candidates[i].member->info.http));
    }
    return list;
}

void lookup_respond(node_t* node, cw_exchange_t* x) {
    json_t* root = json_pack("{s:o,s:i,s:s}", "addresses", choose_addresses(node), "keep_ms",
                             (int)node->settings.lookup_ttl_ms, "hall", node->settings.hall);
    if (!node_is_stopping(node)) {
        cw_ticket_t ticket = cw_runonce_ticket(entry_runonce(node->entry), node_now_ms());
        json_object_set_new(root, "ticket", json_string(ticket.text));
        json_object_set_new(root, "ticket_address", json_string(cw_httpd_address(node->http)));
        json_object_set_new(root, "ticket_ms", json_integer(node->settings.ticket_ms));
    }
    char* text = json_dumps(root, JSON_COMPACT);
    reply_json(x, 200, text);
    free(text);
    json_decref(root);
}
