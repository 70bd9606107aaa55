package caller

import (
	"net/http"
	"slices"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/contract"
)

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

// modelBody describes one model in OpenAI's format.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelBody(name string) modelBody {
	return modelBody{ID: name, Object: "model", OwnedBy: "daisylb"}
}

// models serves GET /v1/models: the model services that the account may use.
func (l *Listener) models(w http.ResponseWriter, r *http.Request) error {
	id := IdentityOf(r)
	list := modelList{Object: "list", Data: []modelBody{}}
	for name, service := range id.index.document.Services {
		if service.Kind == contract.KindModel && mayUse(service, id.Account) {
			list.Data = append(list.Data, newModelBody(name))
		}
	}
	slices.SortFunc(list.Data, func(a, b modelBody) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	writeJSON(w, http.StatusOK, list)
	return nil
}

// model serves GET /v1/models/{model}.
func (l *Listener) model(w http.ResponseWriter, r *http.Request) error {
	id := IdentityOf(r)
	name := r.PathValue("model")
	service, err := id.index.service(id.Account, name)
	if err != nil {
		return err
	}
	if service.Kind != contract.KindModel {
		return code.New(code.UnknownService, "no model service %q", truncateName(name))
	}
	writeJSON(w, http.StatusOK, newModelBody(name))
	return nil
}
